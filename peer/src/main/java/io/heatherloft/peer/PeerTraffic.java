package io.heatherloft.peer;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counters of the bytes and messages exchanged with other hosts. The counters never decrease. Thread-safe.
 */
public final class PeerTraffic {
    private final LongAdder sentBytes = new LongAdder();
    private final LongAdder receivedBytes = new LongAdder();
    private final LongAdder sentMessages = new LongAdder();

    void recordSent(int bytes) {
        sentBytes.add(bytes);
        sentMessages.increment();
    }

    void recordReceived(int bytes) {
        receivedBytes.add(bytes);
    }

    /** Returns the total size of the messages sent, without length prefixes and TCP/IP headers. */
    public long sentBytes() {
        return sentBytes.sum();
    }

    /** Returns the total size of the messages received, without length prefixes and TCP/IP headers. */
    public long receivedBytes() {
        return receivedBytes.sum();
    }

    public long sentMessages() {
        return sentMessages.sum();
    }
}
