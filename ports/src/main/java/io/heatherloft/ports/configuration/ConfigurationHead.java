package io.heatherloft.ports.configuration;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.hash.Hashing;
import io.heatherloft.ports.http.JsonHttpClient;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Names one accepted generation of the configuration: who applied it, when, and the files it is made of. Also the form
 * of its entry in the audit trail.
 *
 * <p>Invariant: two heads of one generation are equal, since a head is only written by compare-and-swap. Immutable and
 * safe for use by several threads.
 *
 * @param appliedAtMillis wall-clock time of the change, in milliseconds
 * @param writer unique to the attempt that wrote it
 * @param summary what changed against the generation before
 */
public record ConfigurationHead(
        long generation,
        String operator,
        long appliedAtMillis,
        String writer,
        String summary,
        List<FileReference> files) {
    /** The state before anything was applied. */
    public static final ConfigurationHead NONE = new ConfigurationHead(0, "", 0, "", "", List.of());

    /** Parses a stored head. */
    public static ConfigurationHead parse(String json) {
        try {
            return JsonHttpClient.MAPPER.readValue(json, ConfigurationHead.class);
        } catch (JsonProcessingException exception) {
            throw new IllegalArgumentException("not a configuration head: " + json, exception);
        }
    }

    /** Returns the stored form. */
    public String toJson() {
        return JsonHttpClient.MAPPER.valueToTree(this).toString();
    }

    /** Returns a digest of the set of files. */
    @JsonIgnore
    public String digest() {
        String joined =
                files.stream().map(file -> file.path() + "=" + file.digest()).collect(Collectors.joining("\n"));
        return digestOf(joined);
    }

    /** Returns the SHA-256 digest of a text, in hexadecimal. */
    public static String digestOf(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }

    /** A file of the set, by the digest of its content. */
    public record FileReference(String path, String digest) {}
}
