package io.heatherloft.router.fleet;

import com.codahale.metrics.Counter;
import io.heatherloft.domain.BoundedMap;
import io.heatherloft.ports.store.StoreValue;
import io.heatherloft.router.log.DecisionLog;
import java.util.Map;

/**
 * The values in the store that could not be read.
 *
 * <p>Counts each of them, and logs it unless the key's last value was unreadable for the same reason. Remembers a limited
 * number of keys. Confined to the loop's thread.
 */
final class UnreadableValues {
    private static final int MAX_KEYS = 256;

    private final DecisionLog log;
    private final Counter counter;
    private final Map<String, String> reasons = BoundedMap.withFifoEviction(MAX_KEYS);

    UnreadableValues(DecisionLog log, Counter counter) {
        this.log = log;
        this.counter = counter;
    }

    /** Called when a value was read, or deleted. */
    void onRead(String key) {
        reasons.remove(key);
    }

    /**
     * Called when a value could not be read.
     *
     * @param outcome what was ignored, for the log
     */
    void onUnreadable(StoreValue value, Throwable failure, String outcome) {
        counter.inc();
        String reason = failure instanceof UnreadableValueException ? failure.getMessage() : failure.toString();
        if (reason.equals(reasons.put(value.key(), reason))) {
            return;
        }
        log.stateChange("stored_value", line -> line.with("key", value.key())
                .with("revision", value.revision().number())
                .with("reason", reason)
                .with("outcome", outcome));
    }
}
