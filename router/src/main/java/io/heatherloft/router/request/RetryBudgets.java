package io.heatherloft.router.request;

import io.heatherloft.domain.routing.RetryBudget;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * This host's share of the fleet-wide retry budget of each service.
 *
 * <p>Invariant: the budgets of all hosts together grant at most {@code ratio} times the requests, plus the allowance,
 * plus the initial allowances of hosts that restart. Confined to the loop's thread.
 */
final class RetryBudgets {
    // Minimum allowance of a host, however many hosts share the fleet's allowance. A host starts with this minimum
    // while it knows of no other host, and otherwise with half of its share if that is more.
    private static final double MIN_HOST_ALLOWANCE = 2;

    private final double ratio;
    private final double allowance;
    private final IntSupplier hostCount;
    private final Map<String, RetryBudget> byService = new HashMap<>();

    /**
     * Creates budgets.
     *
     * @param ratio retries earned by each request
     * @param allowance retries that the hosts of the fleet together can accumulate (burst capacity)
     * @param hostCount number of known hosts that share the allowance, this one included
     */
    RetryBudgets(double ratio, double allowance, IntSupplier hostCount) {
        this.ratio = ratio;
        this.allowance = allowance;
        this.hostCount = hostCount;
    }

    RetryBudget of(String service) {
        int hosts = hostCount.getAsInt();
        double hostAllowance = Math.max(MIN_HOST_ALLOWANCE, allowance / hosts);
        double initialAllowance = hosts == 1 ? MIN_HOST_ALLOWANCE : Math.max(MIN_HOST_ALLOWANCE, hostAllowance / 2);
        RetryBudget budget = byService.computeIfAbsent(service, _name -> new RetryBudget(ratio, initialAllowance));
        budget.setCapacity(hostAllowance);
        return budget;
    }
}
