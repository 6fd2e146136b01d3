package io.heatherloft.router.request;

/**
 * Settings of the request engine.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param retryRatio repeated sends that this host earns with each answered request
 * @param retryAllowance repeated sends that all hosts together may save up
 */
public record EngineSettings(String availabilityZone, double retryRatio, double retryAllowance) {}
