package io.heatherloft.domain.admission;

import java.util.Comparator;

/**
 * A request that asks for admission, with what decides on its order.
 *
 * <p>Immutable and thread-safe if the item is.
 *
 * @param item the request itself
 * @param priority priority, 0 being the highest
 * @param workspace workspace of the caller; empty if it is anonymous
 * @param returned true if the request came back after a refusal, or was rejected or lost by a server
 * @param begun true if the caller has begun to read the response, which is lost if the request is refused
 * @param arrivedAtMillis time at which the request arrived
 * @param queuedAtMillis time at which it asked for admission
 * @param objectiveAtMillis time at which its latency objective is missed
 * @param deadlineAtMillis time at which its caller gives up
 * @param work expected time, in milliseconds, for which it occupies a slot of a typical server
 * @param tokens tokens that a server holds for it
 */
public record AdmissionRequest<T>(
        T item,
        int priority,
        String workspace,
        boolean returned,
        boolean begun,
        long arrivedAtMillis,
        long queuedAtMillis,
        long objectiveAtMillis,
        long deadlineAtMillis,
        double work,
        long tokens) {
    // Differences in slack below half of the shortest objective (200 ms) do not matter to callers, so work decides.
    private static final long SLACK_STEP_MILLIS = 100L;
    private static final double PROTECTED_AFTER = 0.5;
    // A refused caller should have a quarter of its time left, within which it can come back.
    private static final double REFUSED_AFTER = 0.75;

    // Prompt tokens per millisecond and milliseconds per output token of a typical engine.
    private static final double PROMPT_TOKENS_PER_MILLI = 22;
    private static final double MILLIS_PER_OUTPUT_TOKEN = 25;
    private static final double FIXED_MILLIS = 20;

    /** Order of the requests of one workspace with the same priority. */
    static final Comparator<AdmissionRequest<?>> ORDER = Comparator.<AdmissionRequest<?>, Boolean>comparing(
                    request -> !request.returned())
            .thenComparingLong(request -> Math.floorDiv(request.objectiveAtMillis(), SLACK_STEP_MILLIS))
            .thenComparingLong(request -> Math.floorDiv(request.deadlineAtMillis(), SLACK_STEP_MILLIS))
            .thenComparingDouble(AdmissionRequest::work);

    /** Returns the expected time, in milliseconds, for which a request occupies a slot of a typical server. */
    public static double workOf(long promptTokens, long outputTokens) {
        return FIXED_MILLIS + promptTokens / PROMPT_TOKENS_PER_MILLI + outputTokens * MILLIS_PER_OUTPUT_TOKEN;
    }

    /** Returns true if the request goes first in its priority, since it has begun or waited so long. */
    boolean isProtected(long nowMillis) {
        return begun || nowMillis >= arrivedAtMillis + (long) (PROTECTED_AFTER * (deadlineAtMillis - arrivedAtMillis));
    }

    /** Returns the time at which a request that still waits is refused. */
    long refusedAtMillis(double serviceMillis) {
        if (begun) {
            return deadlineAtMillis;
        }
        long latest = queuedAtMillis + (long) (REFUSED_AFTER * (deadlineAtMillis - queuedAtMillis));
        return Math.min(latest, deadlineAtMillis - (long) serviceMillis);
    }
}
