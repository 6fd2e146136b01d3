package io.heatherloft.ports.configuration;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.hash.Hashing;
import io.heatherloft.ports.http.JsonHttpClient;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Metadata of one generation of the configuration: who applied it, when, and references to its files. The entry of a
 * generation in the audit trail has the same form.
 *
 * <p>Invariant: there is only one head per generation, because heads are written by compare-and-swap only. Immutable
 * and thread-safe.
 *
 * @param appliedAtMillis wall-clock time of the change, in milliseconds since the epoch
 * @param writer identifier that is unique to the attempt that wrote the head
 * @param summary differences from the previous generation
 */
public record ConfigurationHead(
        long generation,
        String operator,
        long appliedAtMillis,
        String writer,
        String summary,
        List<FileReference> files) {
    /** The state before the first configuration is applied. */
    public static final ConfigurationHead NONE = new ConfigurationHead(0, "", 0, "", "", List.of());

    /**
     * Parses the stored form of a head.
     *
     * @throws IllegalArgumentException if {@code json} is not a configuration head
     */
    public static ConfigurationHead parse(String json) {
        try {
            return JsonHttpClient.MAPPER.readValue(json, ConfigurationHead.class);
        } catch (JsonProcessingException exception) {
            throw new IllegalArgumentException("cannot parse configuration head: " + json, exception);
        }
    }

    /** Returns the stored form. */
    public String toJson() {
        return JsonHttpClient.MAPPER.valueToTree(this).toString();
    }

    /** Returns a digest of the paths and digests of all files. */
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

    /** A path and the digest of the file's content. */
    public record FileReference(String path, String digest) {}
}
