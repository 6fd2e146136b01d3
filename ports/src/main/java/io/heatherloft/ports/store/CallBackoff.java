package io.heatherloft.ports.store;

import java.util.Random;

/**
 * Spaces the calls to a dependency that fails: the time to the next call doubles with each failure up to a limit.
 *
 * <p>Invariant: after a success the next call may be made at once. Times are spread at random by half, so that callers that lost
 * the dependency at the same moment do not return to it together. Confined to one thread.
 */
public final class CallBackoff {
    private final long initialMillis;
    private final Random random;
    private long backoffMillis;
    private long notBeforeMillis = Long.MIN_VALUE / 2;

    /** Creates an instance that allows a call at once. */
    public CallBackoff(long initialMillis, Random random) {
        this.initialMillis = initialMillis;
        this.random = random;
        this.backoffMillis = initialMillis;
    }

    /** Records that a call succeeded. */
    public void onSuccess() {
        backoffMillis = initialMillis;
        notBeforeMillis = Long.MIN_VALUE / 2;
    }

    /**
     * Records that a call failed.
     *
     * @param maxMillis longest time to the next call, before it is spread
     */
    public void onFailure(long nowMillis, long maxMillis) {
        long bounded = Math.min(backoffMillis, maxMillis);
        notBeforeMillis = nowMillis + bounded / 2 + random.nextInt((int) bounded);
        backoffMillis = Math.min(maxMillis, backoffMillis * 2);
    }

    /** Returns the time until the next call may be made, in milliseconds; 0 if it may be made now. */
    public long remainingMillis(long nowMillis) {
        return Math.max(0, notBeforeMillis - nowMillis);
    }
}
