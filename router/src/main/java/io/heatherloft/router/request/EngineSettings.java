package io.heatherloft.router.request;

import io.heatherloft.domain.route.ColdServerBound;
import java.util.Optional;

/**
 * Settings of the request engine.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param retryRatio retries that this host earns with each request
 * @param retryAllowance retries that all hosts together can accumulate
 * @param coldBound bound on requests to cold servers; empty if there is none
 * @param admissionControl true if requests wait for room at backend servers instead of being sent to full ones
 */
public record EngineSettings(
        String availabilityZone,
        double retryRatio,
        double retryAllowance,
        Optional<ColdServerBound> coldBound,
        boolean admissionControl) {}
