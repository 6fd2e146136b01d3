package io.heatherloft.domain.configuration;

import java.util.List;

/**
 * Models to try for a request class, cheapest first.
 *
 * <p>Invariant: at least one step. Immutable and thread-safe.
 *
 * @param steps model names, in the order tried
 * @param qualityTarget least acceptable rating, from 0 to 1
 * @param deadlineMillis time allowed for the whole answer, in milliseconds
 * @param priority 0 to 2; higher is served first within a workspace
 */
public record Cascade(String name, List<String> steps, double qualityTarget, long deadlineMillis, int priority) {}
