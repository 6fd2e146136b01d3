package io.heatherloft.domain.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Expected times of the events of a response, by kind of response: the time to the first event and the mean time between
 * events, as measured on the previous version.
 *
 * <p>A response that is not a stream counts as one event. Invariant: a kind has no expected time before
 * {@link #MIN_RESPONSES} responses. Confined to one thread.
 */
public final class EventTimeBaseline {
    private static final int MIN_RESPONSES = 5;
    private static final double SMOOTHING_FACTOR = 0.1;

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

    /** Returns the expected time of the event that follows after a number of events; empty if there is no baseline. */
    public OptionalDouble expectedMillis(String kind, long receivedEvents) {
        Timing timing = timingsByKind.get(kind);
        return timing == null || timing.responses() < MIN_RESPONSES
                ? OptionalDouble.empty()
                : OptionalDouble.of(timing.firstEventMillis() + receivedEvents * timing.betweenEventsMillis());
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
