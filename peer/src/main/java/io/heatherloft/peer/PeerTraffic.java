package io.heatherloft.peer;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts bytes and messages between hosts. Counts only grow; safe for use by several threads.
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

    /** Returns the bytes of all messages sent, without their transport's headers. */
    public long sentBytes() {
        return sentBytes.sum();
    }

    /** Returns the bytes of all messages received, without their transport's headers. */
    public long receivedBytes() {
        return receivedBytes.sum();
    }

    /** Returns the number of messages sent. */
    public long sentMessages() {
        return sentMessages.sum();
    }
}
