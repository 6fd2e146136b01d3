package io.heatherloft.ports.configuration;

import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.StoreRevision;
import io.heatherloft.domain.configuration.ConfigurationFile;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.ports.store.KeyValueStore;
import io.heatherloft.ports.store.RetryingWriter;
import io.heatherloft.ports.store.StoreUnavailableException;
import io.heatherloft.ports.store.StoreValue;
import io.heatherloft.ports.store.WriteOutcome;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * The operators' configuration in the platform's key-value store: content-addressed parts, one head that is replaced by
 * compare-and-swap, and an audit entry for each generation.
 *
 * <p>Invariants: all parts that a head references are written before the head; generations are consecutive; the audit
 * entry of a generation is written before the generation is replaced. Confined to the event loop thread.
 */
public final class ConfigurationRepository {
    /** Key of the head, which the daemons watch. */
    public static final String HEAD_KEY = "heatherloft/configuration/head";

    private static final String PART_PREFIX = "heatherloft/configuration/part/";
    private static final String AUDIT_PREFIX = "heatherloft/configuration/audit/";

    private final KeyValueStore store;
    private final RetryingWriter storeWriter;
    private final Loop loop;

    public ConfigurationRepository(KeyValueStore store, Loop loop) {
        this.store = store;
        this.storeWriter = new RetryingWriter(store, loop);
        this.loop = loop;
    }

    /** Reads the current head. */
    public CompletableFuture<VersionedHead> readHead() {
        return store.get(HEAD_KEY).thenApply(found -> found.map(value ->
                        new VersionedHead(ConfigurationHead.parse(value.value().toText()), value.revision()))
                .orElseGet(() -> new VersionedHead(ConfigurationHead.NONE, KeyValueStore.ABSENT)));
    }

    /** Reads the parts of a head, except for those that {@code known} contains. */
    public CompletableFuture<ConfigurationDocument> readDocument(ConfigurationHead head, Map<String, String> known) {
        Map<String, String> parts = new HashMap<>();
        CompletableFuture<Void> chain = CompletableFuture.completedFuture(null);
        for (ConfigurationHead.FileReference file : head.files()) {
            String present = known.get(file.digest());
            if (present == null) {
                chain = chain.thenCompose(_previous -> store.get(PART_PREFIX + file.digest()))
                        .thenAccept(found -> found.ifPresent(
                                value -> parts.put(file.digest(), value.value().toText())));
            } else {
                parts.put(file.digest(), present);
            }
        }
        return chain.thenCompose(_done -> ConfigurationDocument.verified(head, parts)
                .map(CompletableFuture::completedFuture)
                .orElseGet(() -> CompletableFuture.failedFuture(new StoreUnavailableException(
                        "parts of generation " + head.generation() + " are missing or corrupt"))));
    }

    /**
     * Applies a valid set of files as the generation that follows {@code base}.
     *
     * @param writer identifier that is unique to this attempt
     * @param summary differences from {@code base}, for the audit trail
     */
    public CompletableFuture<ApplyOutcome> apply(
            VersionedHead base, List<ConfigurationFile> files, String operator, String writer, String summary) {
        List<ConfigurationHead.FileReference> references = files.stream()
                .sorted(Comparator.comparing(ConfigurationFile::path))
                .map(file -> new ConfigurationHead.FileReference(file.path(), ConfigurationHead.digestOf(file.text())))
                .toList();
        ConfigurationHead next = new ConfigurationHead(
                base.head().generation() + 1, operator, loop.nowMillis(), writer, summary, references);
        return writeParts(files)
                .thenCompose(written -> written instanceof WriteOutcome.Applied
                        ? writeAudit(base.head())
                        : CompletableFuture.completedFuture(written))
                .thenCompose(written -> written instanceof WriteOutcome.Applied
                        ? replaceHead(next, base.revision())
                        : CompletableFuture.completedFuture(
                                new ApplyOutcome.NotApplied("the store did not confirm writing the files: " + written)))
                .thenCompose(outcome -> outcome instanceof ApplyOutcome.Applied
                        ? writeAudit(next).thenApply(_audited -> outcome)
                        : CompletableFuture.completedFuture(outcome));
    }

    /** Reads the audit trail, oldest first. */
    public CompletableFuture<List<ConfigurationHead>> readAudit() {
        return store.list(AUDIT_PREFIX).thenCombine(readHead(), (listing, head) -> {
            Map<Long, ConfigurationHead> entries = new HashMap<>();
            listing.values().stream()
                    .map(value -> ConfigurationHead.parse(value.value().toText()))
                    .forEach(entry -> entries.put(entry.generation(), entry));
            if (head.head().generation() > 0) {
                entries.put(head.head().generation(), head.head());
            }
            return entries.values().stream()
                    .sorted(Comparator.comparingLong(ConfigurationHead::generation))
                    .toList();
        });
    }

    private CompletableFuture<WriteOutcome> writeParts(List<ConfigurationFile> files) {
        CompletableFuture<WriteOutcome> chain =
                CompletableFuture.completedFuture(new WriteOutcome.Applied(KeyValueStore.ABSENT));
        Set<String> written = new HashSet<>();
        for (ConfigurationFile file : files) {
            String digest = ConfigurationHead.digestOf(file.text());
            if (written.add(digest)) {
                chain = chain.thenCompose(previous -> previous instanceof WriteOutcome.Applied
                        ? putIfAbsent(PART_PREFIX + digest, file.text())
                        : CompletableFuture.completedFuture(previous));
            }
        }
        return chain;
    }

    // The head contains its own audit entry, so an entry that was not written with it is written before it is replaced.
    private CompletableFuture<WriteOutcome> writeAudit(ConfigurationHead head) {
        if (head.generation() == 0) {
            return CompletableFuture.completedFuture(new WriteOutcome.Applied(KeyValueStore.ABSENT));
        }
        return putIfAbsent(auditKey(head.generation()), head.toJson());
    }

    private CompletableFuture<WriteOutcome> putIfAbsent(String key, String text) {
        return storeWriter
                .put(key, Bytes.ofText(text), KeyValueStore.ABSENT, OptionalLong.empty())
                .thenApply(outcome -> outcome instanceof WriteOutcome.Conflict
                        ? new WriteOutcome.Applied(KeyValueStore.ABSENT)
                        : outcome);
    }

    private CompletableFuture<ApplyOutcome> replaceHead(ConfigurationHead next, StoreRevision expectedRevision) {
        return storeWriter
                .put(HEAD_KEY, Bytes.ofText(next.toJson()), expectedRevision, OptionalLong.empty())
                .thenCompose(outcome -> {
                    if (outcome instanceof WriteOutcome.Applied) {
                        return CompletableFuture.completedFuture(new ApplyOutcome.Applied(next));
                    }
                    if (outcome instanceof WriteOutcome.Conflict) {
                        return readHead().thenCompose(current -> resolveConflict(next, current.head()));
                    }
                    return CompletableFuture.completedFuture(
                            outcome instanceof WriteOutcome.Unavailable unavailable
                                    ? new ApplyOutcome.NotApplied(unavailable.reason())
                                    : new ApplyOutcome.Unknown(next.generation()));
                });
    }

    // If the attempted head was written but replaced before the response arrived, its audit entry exists.
    private CompletableFuture<ApplyOutcome> resolveConflict(ConfigurationHead attempted, ConfigurationHead current) {
        return store.get(auditKey(attempted.generation())).thenApply(found -> {
            boolean applied = found.map(value ->
                            ConfigurationHead.parse(value.value().toText()).equals(attempted))
                    .orElse(false);
            return applied ? new ApplyOutcome.Applied(attempted) : new ApplyOutcome.Conflict(current);
        });
    }

    private static String auditKey(long generation) {
        return AUDIT_PREFIX + String.format("%010d", generation);
    }

    /** A head and its store revision, which a conditional write expects. */
    public record VersionedHead(ConfigurationHead head, StoreRevision revision) {
        /** Parses a head; empty if {@code value} is stored under another key. */
        public static Optional<VersionedHead> of(StoreValue value) {
            return value.key().equals(HEAD_KEY)
                    ? Optional.of(new VersionedHead(
                            ConfigurationHead.parse(value.value().toText()), value.revision()))
                    : Optional.empty();
        }
    }

    /** Outcome of applying a configuration. */
    public sealed interface ApplyOutcome {
        /** The configuration was applied as a new generation. */
        record Applied(ConfigurationHead head) implements ApplyOutcome {}

        /** Another writer's generation is current; this configuration was not applied. */
        record Conflict(ConfigurationHead current) implements ApplyOutcome {}

        /** The configuration was not applied. */
        record NotApplied(String reason) implements ApplyOutcome {}

        /** The store's response was lost. The audit trail shows whether the generation was applied. */
        record Unknown(long generation) implements ApplyOutcome {}
    }
}
