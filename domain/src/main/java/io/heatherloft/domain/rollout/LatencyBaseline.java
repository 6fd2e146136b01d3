package io.heatherloft.domain.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Average answer times of the previous version by kind of answer, as the baseline for a version that is being rolled
 * out.
 *
 * <p>Invariant: a kind has no baseline before {@link #MIN_ANSWERS} answers. Confined to one thread.
 */
public final class LatencyBaseline {
    private static final int MIN_ANSWERS = 5;
    private static final double SMOOTHING_FACTOR = 0.1;

    private final Map<String, Average> averagesByKind = new HashMap<>();

    /** Records the time of an answer of the previous version. */
    public void record(String kind, double millis) {
        averagesByKind.merge(kind, new Average(millis, 1), (known, _new) -> known.plusAnswer(millis));
    }

    /** Returns the ratio of a time to the baseline of its kind; empty if there is no baseline. */
    public OptionalDouble ratioToBaseline(String kind, double millis) {
        Average average = averagesByKind.get(kind);
        return average == null || average.answers() < MIN_ANSWERS || average.millis() <= 0
                ? OptionalDouble.empty()
                : OptionalDouble.of(millis / average.millis());
    }

    private record Average(double millis, int answers) {
        Average plusAnswer(double newest) {
            return new Average(millis + (newest - millis) * SMOOTHING_FACTOR, answers + 1);
        }
    }
}
