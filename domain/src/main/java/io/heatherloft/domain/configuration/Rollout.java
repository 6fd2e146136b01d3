package io.heatherloft.domain.configuration;

/**
 * A gradual change of a model's version: {@code sharePercent} percent of new sessions start on {@code to}, the others
 * on {@code from}.
 *
 * <p>Invariant: the share is between 0 and 100. The names of the record and its components are part of the digest that
 * hosts compare (see {@link Configuration#declarationDigest}). Immutable and thread-safe.
 */
public record Rollout(String model, String from, String to, int sharePercent) {}
