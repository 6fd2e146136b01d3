package io.heatherloft.peer.ledger;

import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.configuration.VersionReference;
import io.heatherloft.domain.ledger.LedgerRecord;
import io.heatherloft.domain.ledger.LedgerShard;
import io.heatherloft.domain.ledger.Retention;
import io.heatherloft.domain.ledger.WorkspaceTotals;
import io.heatherloft.peer.LedgerCodec;
import io.heatherloft.peer.generated.LedgerHead;
import io.heatherloft.peer.generated.LedgerSegment;
import io.heatherloft.peer.generated.PinnedEntry;
import io.heatherloft.peer.generated.TotalsEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Turns a range of the log into segments: what must be remembered after its bills are in the totals.
 *
 * <p>Records that are remembered for different times go to different segments, so that each can be dropped whole.
 * Invariant: restoring a segment gives the shard the same answers as the records it was made of. Stateless and safe
 * for use by several threads.
 */
final class LedgerSegments {
    // Keeps a segment well below the store's largest value.
    private static final int MAX_SEGMENT_BYTES = 524_288;

    private LedgerSegments() {}

    static CompactionResult compact(
            List<LedgerRecord> records, Retention retention, long nowMillis, String writer, long writerCounter) {
        SegmentBuilder builder = new SegmentBuilder(nowMillis, writer, writerCounter);
        records.stream()
                .filter(LedgerSegments::isSettledIdempotent)
                .forEach(record -> builder.addSettled(record, nowMillis + retention.idempotentMillis()));
        builder.finishSegment();
        records.stream()
                .filter(LedgerRecord.SessionPin.class::isInstance)
                .forEach(record ->
                        builder.addPin((LedgerRecord.SessionPin) record, nowMillis + retention.sessionMillis()));
        builder.finishSegment();
        records.stream()
                .filter(record -> !(record instanceof LedgerRecord.SessionPin) && !isSettledIdempotent(record))
                .forEach(record -> builder.addAtMostOnce(record, nowMillis + retention.atMostOnceMillis()));
        builder.finishSegment();
        return new CompactionResult(List.copyOf(builder.segments));
    }

    static void restore(LedgerShard state, Bytes value) {
        LedgerSegment segment = StoredMessages.parse(LedgerSegment.parser(), value);
        segment.getSettledList().forEach(hash -> state.restoreSettled(hash, segment.getAtMillis()));
        segment.getPinsList()
                .forEach(pin -> state.restorePin(
                        pin.getSession(), VersionReference.parse(pin.getVersion()), segment.getAtMillis()));
        segment.getAtMostOnceList().stream().map(LedgerCodec::decode).forEach(state::restoreAtMostOnce);
    }

    static Map<String, WorkspaceTotals> decodeTotals(LedgerHead head) {
        return head.getTotalsList().stream()
                .collect(Collectors.toMap(
                        TotalsEntry::getWorkspace,
                        entry -> new WorkspaceTotals(
                                entry.getRequests(),
                                entry.getInputTokens(),
                                entry.getOutputTokens(),
                                entry.getCostMicros())));
    }

    static List<TotalsEntry> encodeTotals(Map<String, WorkspaceTotals> totals) {
        return totals.entrySet().stream()
                .map(entry -> TotalsEntry.newBuilder()
                        .setWorkspace(entry.getKey())
                        .setRequests(entry.getValue().requests())
                        .setInputTokens(entry.getValue().inputTokens())
                        .setOutputTokens(entry.getValue().outputTokens())
                        .setCostMicros(entry.getValue().costMicros())
                        .build())
                .toList();
    }

    private static boolean isSettledIdempotent(LedgerRecord record) {
        return record instanceof LedgerRecord.Settlement settlement
                && settlement.token().isEmpty();
    }

    /** Segments to be written. */
    record CompactionResult(List<ExpiringSegment> segments) {}

    /** A segment and the time after which nothing in it is needed. */
    record ExpiringSegment(LedgerSegment segment, long expiresAtMillis) {}

    private static final class SegmentBuilder {
        private final long nowMillis;
        private final String writer;
        private final long writerCounter;
        private final List<ExpiringSegment> segments = new ArrayList<>();
        private LedgerSegment.Builder current = LedgerSegment.newBuilder();
        private long expiresAtMillis;
        private int segmentBytes;

        SegmentBuilder(long nowMillis, String writer, long writerCounter) {
            this.nowMillis = nowMillis;
            this.writer = writer;
            this.writerCounter = writerCounter;
        }

        void addSettled(LedgerRecord record, long expiry) {
            current.addSettled(record.shardHash());
            onRecordAdded(Long.BYTES, expiry);
        }

        void addPin(LedgerRecord.SessionPin pin, long expiry) {
            PinnedEntry entry = PinnedEntry.newBuilder()
                    .setSession(pin.shardHash())
                    .setVersion(pin.version().toString())
                    .build();
            current.addPins(entry);
            onRecordAdded(entry.getSerializedSize(), expiry);
        }

        void addAtMostOnce(LedgerRecord record, long expiry) {
            current.addAtMostOnce(LedgerCodec.encode(record));
            onRecordAdded(
                    current.getAtMostOnce(current.getAtMostOnceCount() - 1).getSerializedSize(), expiry);
        }

        void finishSegment() {
            if (segmentBytes > 0) {
                LedgerSegment segment = current.setAtMillis(nowMillis)
                        .setWriter(writer)
                        .setWriterCounter(writerCounter)
                        .build();
                segments.add(new ExpiringSegment(segment, expiresAtMillis));
            }
            current = LedgerSegment.newBuilder();
            segmentBytes = 0;
        }

        private void onRecordAdded(int added, long expiry) {
            segmentBytes += added;
            expiresAtMillis = expiry;
            if (segmentBytes >= MAX_SEGMENT_BYTES) {
                finishSegment();
            }
        }
    }
}
