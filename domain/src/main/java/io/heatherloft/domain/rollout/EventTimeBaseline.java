package io.heatherloft.domain.rollout;

import java.util.HashMap;
import java.util.Map;

/**
 * Times to the first event of a response and between its further events, by kind of response, as measured on the
 * previous version.
 *
 * <p>A response that is not a stream counts as one event. Invariant: nothing is overdue before
 * {@link #MIN_RESPONSES} responses of its kind. Confined to one thread.
 */
public final class EventTimeBaseline {
    private static final int MIN_RESPONSES = 5;
    private static final double SMOOTHING_FACTOR = 0.1;
    // Times longer than expected above which a response is overdue; prompts and responses of a kind differ in length.
    private static final double OVERDUE_FACTOR = 4.0;
    // A single pause between events is no sign of a slow version, so the events are compared in groups of this size.
    private static final long MIN_COMPARED_EVENTS = 8;

    private final Map<String, Timing> timingsByKind = new HashMap<>();

    /**
     * Records a complete response.
     *
     * @param firstEventMillis time to the first event
     * @param totalMillis time to the end of the response
     * @param events number of events
     */
    public void record(String kind, double firstEventMillis, double totalMillis, long events) {
        double betweenEventsMillis = events > 1 ? (totalMillis - firstEventMillis) / (events - 1) : 0;
        Timing response = new Timing(firstEventMillis, betweenEventsMillis, 1);
        timingsByKind.merge(kind, response, (known, _new) -> known.plus(response));
    }

    /** Returns true if the first event takes several times longer than usual. */
    public boolean isFirstEventOverdue(String kind, double elapsedMillis) {
        Timing timing = timingsByKind.get(kind);
        return timing != null
                && timing.responses() >= MIN_RESPONSES
                && elapsedMillis > OVERDUE_FACTOR * timing.firstEventMillis();
    }

    /**
     * Returns true if the events after the first one take several times longer than usual.
     *
     * @param sinceFirstMillis time since the first event
     * @param events number of events that have arrived since then, including one that is awaited
     */
    public boolean areFurtherEventsOverdue(String kind, double sinceFirstMillis, long events) {
        Timing timing = timingsByKind.get(kind);
        return timing != null
                && timing.responses() >= MIN_RESPONSES
                && timing.betweenEventsMillis() > 0
                && sinceFirstMillis
                        > OVERDUE_FACTOR * Math.max(MIN_COMPARED_EVENTS, events) * timing.betweenEventsMillis();
    }

    private record Timing(double firstEventMillis, double betweenEventsMillis, int responses) {
        Timing plus(Timing newest) {
            return new Timing(
                    firstEventMillis + (newest.firstEventMillis - firstEventMillis) * SMOOTHING_FACTOR,
                    betweenEventsMillis + (newest.betweenEventsMillis - betweenEventsMillis) * SMOOTHING_FACTOR,
                    responses + 1);
        }
    }
}
