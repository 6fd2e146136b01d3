package io.heatherloft.domain.configuration;

import java.util.List;

/**
 * Sequence of models that are tried for a request class, cheapest first.
 *
 * <p>Invariant: at least one step. Immutable and thread-safe.
 *
 * @param steps names of the models, in the order in which they are tried
 * @param qualityTarget minimum acceptable rating, from 0 to 1
 * @param deadlineMillis maximum time for the complete answer, in milliseconds
 * @param priority 0 to 2; requests with a higher value are served first within a workspace
 */
public record Cascade(String name, List<String> steps, double qualityTarget, long deadlineMillis, int priority) {}
