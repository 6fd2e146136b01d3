package io.heatherloft.daemon.fakes;

import com.google.protobuf.InvalidProtocolBufferException;
import io.heatherloft.domain.ledger.LedgerRecord;
import io.heatherloft.peer.LedgerCodec;
import io.heatherloft.peer.generated.LedgerBatch;
import io.heatherloft.ports.store.StoreValue;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** The ledger records that were written to the store, in the order of the writes. */
public final class DurableLedger {
    private final List<LedgerRecord> records = new ArrayList<>();

    public DurableLedger(FakeStore store) {
        store.onWrite(this::addRecords);
    }

    public List<LedgerRecord> records() {
        return records;
    }

    /** Returns the number of bills for each request id that callers supplied. */
    public Map<String, Long> billCountsByRequest() {
        return records.stream()
                .filter(LedgerRecord.Settlement.class::isInstance)
                .map(LedgerRecord.Settlement.class::cast)
                .collect(Collectors.groupingBy(
                        settlement -> requestId(settlement.key().requestId()), Collectors.counting()));
    }

    static String requestId(String keyId) {
        return keyId.startsWith("booking:")
                ? keyId.substring("booking:".length())
                : keyId.substring(0, keyId.indexOf(':'));
    }

    private void addRecords(StoreValue value) {
        if (!value.key().contains("/slot/")) {
            return;
        }
        try {
            LedgerBatch.parseFrom(value.value().toArray()).getRecordsList().stream()
                    .map(LedgerCodec::decode)
                    .forEach(records::add);
        } catch (InvalidProtocolBufferException exception) {
            throw new IllegalStateException(exception);
        }
    }
}
