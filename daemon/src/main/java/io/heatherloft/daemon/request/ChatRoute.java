package io.heatherloft.daemon.request;

import io.heatherloft.domain.cascade.CascadePlanner;
import java.util.List;

/**
 * The models that a chat request may use, with the plan for escalating between them. Immutable and thread-safe.
 *
 * @param planKey workspace and request class or model that the plan's statistics belong to
 * @param models model names, in the order in which they are tried
 * @param priority requests with a higher value are served first within the workspace
 * @param deadlineMillis maximum duration of the request, in milliseconds
 */
record ChatRoute(
        CascadePlanner.PlanKey planKey,
        List<String> models,
        CascadePlanner.Plan plan,
        int priority,
        long deadlineMillis) {}
