package io.heatherloft.router.request;

import io.heatherloft.domain.routing.RetryBudget;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * This host's part of the fleet's retry budget of each service.
 *
 * <p>Invariant: the budgets of all hosts together grant at most the ratio times the requests, plus the allowance, plus
 * what hosts grant that start anew. Confined to the loop's thread.
 */
final class RetryBudgets {
    // Retries that a host may save up however many share the allowance; it starts with these while it knows no other
    // host, and with half of its part otherwise.
    private static final double MIN_HOST_ALLOWANCE = 2;

    private final double ratio;
    private final double allowance;
    private final IntSupplier hostCount;
    private final Map<String, RetryBudget> byService = new HashMap<>();

    /**
     * Creates budgets.
     *
     * @param ratio retries of the fleet for each request
     * @param allowance retries of the fleet beyond these
     * @param hostCount hosts that share the allowance, as far as known
     */
    RetryBudgets(double ratio, double allowance, IntSupplier hostCount) {
        this.ratio = ratio;
        this.allowance = allowance;
        this.hostCount = hostCount;
    }

    RetryBudget of(String service) {
        int hosts = hostCount.getAsInt();
        double share = Math.max(MIN_HOST_ALLOWANCE, allowance / hosts);
        double first = hosts == 1 ? MIN_HOST_ALLOWANCE : Math.max(MIN_HOST_ALLOWANCE, share / 2);
        RetryBudget budget = byService.computeIfAbsent(service, _name -> new RetryBudget(ratio, first));
        budget.setCapacity(share);
        return budget;
    }
}
