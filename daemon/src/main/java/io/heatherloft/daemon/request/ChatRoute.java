package io.heatherloft.daemon.request;

import io.heatherloft.domain.cascade.CascadePlanner;
import java.util.List;

/**
 * The models that a request may climb through, and how. Immutable and safe for use by several threads.
 *
 * @param planKey what the plan is learned for
 * @param models model names, in the order tried
 * @param priority higher is served first within the workspace
 * @param deadlineMillis time allowed for the whole answer, in milliseconds
 */
record ChatRoute(
        CascadePlanner.PlanKey planKey,
        List<String> models,
        CascadePlanner.Plan plan,
        int priority,
        long deadlineMillis) {}
