package io.heatherloft.domain.routing;

/**
 * Bounds retries to a fraction of recent successes, so that retries cannot multiply an overload.
 *
 * <p>Invariant: over any period, retries granted are at most the initial allowance plus {@code ratio} times the
 * successes. Confined to one thread.
 */
public final class RetryBudget {
    // Retries that are left for failures: one, and less where a host may save up few, so that some can be spared at
    // all.
    private static final double MAX_RESERVE = 1;
    private static final double RESERVE_FRACTION = 0.125;

    private final double ratio;
    private double capacity;
    private double balance;

    /**
     * Creates a budget.
     *
     * @param ratio retries earned by a success, or by a request where those are recorded
     * @param ceiling greatest number of retries saved up; also the initial allowance
     */
    public RetryBudget(double ratio, double ceiling) {
        this.ratio = ratio;
        this.capacity = ceiling;
        this.balance = ceiling;
    }

    /** Records a success. */
    public void recordSuccess() {
        balance = Math.min(capacity, balance + ratio);
    }

    /** Records a request that was sent for the first time. */
    public void recordRequest() {
        recordSuccess();
    }

    /** Sets the greatest number of retries saved up from now on. */
    public void setCapacity(double newCeiling) {
        capacity = newCeiling;
        balance = Math.min(balance, capacity);
    }

    /** Takes one retry from the budget; returns false if there is none. */
    public boolean tryAcquire() {
        return tryAcquire(0);
    }

    /** Takes one retry that can be done without; returns false if few are left for failures. */
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
