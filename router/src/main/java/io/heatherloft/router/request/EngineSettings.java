package io.heatherloft.router.request;

/**
 * Settings of the request engine.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param retryRatio retries that this host earns with each request
 * @param retryAllowance retries that all hosts together can accumulate
 */
public record EngineSettings(String availabilityZone, double retryRatio, double retryAllowance) {}
