package io.heatherloft.peer.ledger;

import com.google.protobuf.MessageLite;
import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.StoreRevision;
import io.heatherloft.domain.ledger.LedgerRecord;
import io.heatherloft.domain.ledger.LedgerShard;
import io.heatherloft.domain.ledger.Retention;
import io.heatherloft.peer.LedgerCodec;
import io.heatherloft.peer.generated.LedgerBatch;
import io.heatherloft.peer.generated.LedgerHead;
import io.heatherloft.peer.generated.SegmentReference;
import io.heatherloft.ports.loop.Futures;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.ports.store.KeyValueStore;
import io.heatherloft.ports.store.RetryingWriter;
import io.heatherloft.ports.store.WriteOutcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * The durable log of one shard: a ring buffer of slots for the newest batches, and a head with segments for compacted
 * batches.
 *
 * <p>A batch is written to the slot of its sequence number by compare-and-swap on the slot's revision. Invariants: at
 * most one writer commits a given sequence number, even if several believe that they own the shard, because a slot's
 * revision never returns to an earlier value; a slot is overwritten only after its batch has been compacted. Callers
 * must wait for a call to complete before making the next one. Confined to the event loop thread.
 */
public final class LedgerLog {
    private static final int COMPACT_AFTER_BATCHES = LedgerKeys.SLOTS_PER_SHARD / 2;

    private final KeyValueStore store;
    private final RetryingWriter storeWriter;
    private final Loop loop;
    private final int shard;
    private final String writer;
    private final Retention retention;
    private final Map<String, StoreRevision> knownRevisions = new HashMap<>();
    private final List<LedgerRecord> uncompactedRecords = new ArrayList<>();
    private LedgerHead head = LedgerHead.getDefaultInstance();
    private long nextSequence = 1;
    private long writerCounter;

    /**
     * Creates the log of a shard.
     *
     * @param writer name that is unique to the process, so that a value read back identifies its writer
     */
    public LedgerLog(KeyValueStore store, Loop loop, int shard, String writer, Retention retention) {
        this.store = store;
        this.storeWriter = new RetryingWriter(store, loop);
        this.loop = loop;
        this.shard = shard;
        this.writer = writer;
        this.retention = retention;
    }

    /**
     * Reads the whole shard. Fails if the store does not respond, or if another writer's compaction removes data that
     * is still to be read.
     */
    public CompletableFuture<LedgerShard> load() {
        knownRevisions.clear();
        uncompactedRecords.clear();
        LedgerShard state = new LedgerShard(retention);
        return store.get(LedgerKeys.headKey(shard))
                .thenCompose(found -> {
                    found.ifPresent(value -> knownRevisions.put(value.key(), value.revision()));
                    head = found.map(value -> StoredMessages.parse(LedgerHead.parser(), value.value()))
                            .orElseGet(LedgerHead::getDefaultInstance);
                    state.restoreTotals(LedgerSegments.decodeTotals(head));
                    return loadSegments(state, 0);
                })
                .thenCompose(_segments -> store.list(LedgerKeys.slotPrefix(shard)))
                .thenApply(listing -> {
                    replay(state, listing);
                    state.expire(loop.nowMillis());
                    return state;
                });
    }

    /** Returns the sequence number of the next batch, which is higher than that of any batch seen. */
    public long nextSequence() {
        return nextSequence;
    }

    /** Returns true if {@link #compact} must run before the next batch. */
    public boolean isCompactionDue() {
        return nextSequence - head.getFoldedTo() > COMPACT_AFTER_BATCHES;
    }

    /**
     * Appends a batch to the log. After an outcome other than {@link WriteOutcome.Applied} or {@link
     * WriteOutcome.Unavailable}, the log must be loaded again.
     */
    public CompletableFuture<WriteOutcome> commit(List<LedgerRecord> records) {
        LedgerBatch batch = LedgerBatch.newBuilder()
                .setSequence(nextSequence)
                .setWriter(writer)
                .setWriterCounter(++writerCounter)
                .addAllRecords(records.stream().map(LedgerCodec::encode).toList())
                .build();
        return put(LedgerKeys.slotKey(shard, nextSequence), batch).thenApply(outcome -> {
            if (outcome instanceof WriteOutcome.Applied) {
                nextSequence++;
                uncompactedRecords.addAll(records);
            }
            return outcome;
        });
    }

    /**
     * Compacts all batches into segments. After an outcome other than {@link WriteOutcome.Applied} or {@link
     * WriteOutcome.Unavailable}, the log must be loaded again.
     */
    public CompletableFuture<WriteOutcome> compact(LedgerShard state) {
        long now = loop.nowMillis();
        LedgerSegments.CompactionResult compacted =
                LedgerSegments.compact(uncompactedRecords, retention, now, writer, ++writerCounter);
        List<SegmentReference> unexpired = head.getSegmentsList().stream()
                .filter(segment -> segment.getExpiresAtMillis() > now)
                .toList();
        List<SegmentReference> expired = head.getSegmentsList().stream()
                .filter(segment -> segment.getExpiresAtMillis() <= now)
                .toList();
        LedgerHead.Builder next = LedgerHead.newBuilder()
                .setFoldedTo(nextSequence - 1)
                .setWriter(writer)
                .setWriterCounter(writerCounter)
                .addAllTotals(LedgerSegments.encodeTotals(state.totals()))
                .addAllSegments(unexpired)
                .setNextSegment(head.getNextSegment());
        return writeSegments(compacted.segments(), next).thenCompose(outcome -> {
            if (!(outcome instanceof WriteOutcome.Applied)) {
                return CompletableFuture.completedFuture(outcome);
            }
            LedgerHead written = next.build();
            return put(LedgerKeys.headKey(shard), written).thenApply(headOutcome -> {
                if (headOutcome instanceof WriteOutcome.Applied) {
                    head = written;
                    uncompactedRecords.clear();
                    expired.forEach(segment -> deleteSegment(segment.getIndex()));
                }
                return headOutcome;
            });
        });
    }

    private CompletableFuture<WriteOutcome> writeSegments(
            List<LedgerSegments.ExpiringSegment> segments, LedgerHead.Builder next) {
        CompletableFuture<WriteOutcome> chain =
                CompletableFuture.completedFuture(new WriteOutcome.Applied(KeyValueStore.ABSENT));
        for (LedgerSegments.ExpiringSegment expiringSegment : segments) {
            chain = chain.thenCompose(outcome -> outcome instanceof WriteOutcome.Applied
                    ? writeSegment(expiringSegment, next)
                    : CompletableFuture.completedFuture(outcome));
        }
        return chain;
    }

    // A compaction that failed before updating the head leaves its segments behind. Their indexes are skipped;
    // the segments themselves are not deleted.
    private CompletableFuture<WriteOutcome> writeSegment(
            LedgerSegments.ExpiringSegment expiringSegment, LedgerHead.Builder next) {
        long index = next.getNextSegment();
        Bytes value = Bytes.copyOf(expiringSegment.segment().toByteArray());
        return storeWriter
                .put(LedgerKeys.segmentKey(shard, index), value, KeyValueStore.ABSENT, OptionalLong.empty())
                .thenCompose(outcome -> {
                    next.setNextSegment(index + 1);
                    if (outcome instanceof WriteOutcome.Conflict) {
                        return writeSegment(expiringSegment, next);
                    }
                    next.addSegments(SegmentReference.newBuilder()
                            .setIndex(index)
                            .setExpiresAtMillis(expiringSegment.expiresAtMillis()));
                    return CompletableFuture.completedFuture(outcome);
                });
    }

    private void deleteSegment(long index) {
        String key = LedgerKeys.segmentKey(shard, index);
        Futures.onResult(
                store.get(key),
                found -> found.ifPresent(
                        value -> Futures.onResult(store.deleteIfRevision(key, value.revision()), _outcome -> {})));
    }

    private CompletableFuture<WriteOutcome> put(String key, MessageLite message) {
        StoreRevision expected = knownRevisions.getOrDefault(key, KeyValueStore.ABSENT);
        return storeWriter
                .put(key, Bytes.copyOf(message.toByteArray()), expected, OptionalLong.empty())
                .thenApply(outcome -> {
                    if (outcome instanceof WriteOutcome.Applied applied) {
                        knownRevisions.put(key, applied.revision());
                    }
                    return outcome;
                });
    }

    private CompletableFuture<Void> loadSegments(LedgerShard state, int firstIndex) {
        if (firstIndex >= head.getSegmentsCount()) {
            return CompletableFuture.completedFuture(null);
        }
        SegmentReference reference = head.getSegments(firstIndex);
        return store.get(LedgerKeys.segmentKey(shard, reference.getIndex())).thenCompose(found -> {
            if (found.isEmpty() && reference.getExpiresAtMillis() > loop.nowMillis()) {
                throw new LogChangedException(
                        "segment " + reference.getIndex() + " was deleted while the log was read");
            }
            found.ifPresent(value -> LedgerSegments.restore(state, value.value()));
            return loadSegments(state, firstIndex + 1);
        });
    }

    private void replay(LedgerShard state, KeyValueStore.Listing listing) {
        Map<Long, LedgerBatch> batches = new HashMap<>();
        listing.values().forEach(value -> {
            knownRevisions.put(value.key(), value.revision());
            LedgerBatch batch = StoredMessages.parse(LedgerBatch.parser(), value.value());
            batches.put(batch.getSequence(), batch);
        });
        long newest = batches.keySet().stream().mapToLong(Long::longValue).max().orElse(0);
        nextSequence = head.getFoldedTo() + 1;
        while (nextSequence <= newest) {
            LedgerBatch batch = batches.get(nextSequence);
            if (batch == null) {
                throw new LogChangedException("batch " + nextSequence + " was compacted while the log was read");
            }
            batch.getRecordsList().stream().map(LedgerCodec::decode).forEach(record -> {
                state.apply(record);
                uncompactedRecords.add(record);
            });
            nextSequence++;
        }
    }

    /** Thrown when another writer changes the log while it is being read. The read can be retried. */
    static final class LogChangedException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        LogChangedException(String message) {
            super(message);
        }
    }
}
