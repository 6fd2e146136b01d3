package io.heatherloft.domain.routing;

/**
 * Token bucket that bounds retries to a fraction of recent successes, so that retries cannot amplify an overload.
 *
 * <p>Invariant: over any period, the retries granted are at most the initial balance plus {@code ratio} times the
 * recorded successes. Confined to one thread.
 */
public final class RetryBudget {
    // Tokens reserved for retries after failures: one, but only a fraction of a small capacity, so that optional
    // retries remain possible.
    private static final double MAX_RESERVE = 1;
    private static final double RESERVE_FRACTION = 0.125;

    private final double ratio;
    private double capacity;
    private double balance;

    /**
     * Creates a budget.
     *
     * @param ratio tokens added per success, or per request if requests are recorded instead
     * @param capacity maximum number of tokens; also the initial balance
     */
    public RetryBudget(double ratio, double capacity) {
        this.ratio = ratio;
        this.capacity = capacity;
        this.balance = capacity;
    }

    /** Records a success. */
    public void recordSuccess() {
        balance = Math.min(capacity, balance + ratio);
    }

    /** Records the first attempt of a request. */
    public void recordRequest() {
        recordSuccess();
    }

    /** Sets the maximum number of tokens; surplus tokens are discarded. */
    public void setCapacity(double newCapacity) {
        capacity = newCapacity;
        balance = Math.min(balance, capacity);
    }

    /** Returns true if a token for a retry is available. */
    public boolean isAvailable() {
        return balance >= 1;
    }

    /** Takes a token for a retry; returns false if none is available. */
    public boolean tryAcquire() {
        return tryAcquire(0);
    }

    /** Takes a token for a retry that is not required; returns false if only the reserve for failures is left. */
    public boolean tryAcquireOptional() {
        return tryAcquire(Math.min(MAX_RESERVE, capacity * RESERVE_FRACTION));
    }

    private boolean tryAcquire(double reserve) {
        if (balance < 1 + reserve) {
            return false;
        }
        balance -= 1;
        return true;
    }
}
