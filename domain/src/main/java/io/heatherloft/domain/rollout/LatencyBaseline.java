package io.heatherloft.domain.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * The usual time of answers by kind, against which those of a version on trial are held.
 *
 * <p>Invariant: a kind has no usual time before {@link #MIN_ANSWERS} answers. Confined to one thread.
 */
public final class LatencyBaseline {
    private static final int MIN_ANSWERS = 5;
    private static final double SMOOTHING_FACTOR = 0.1;

    private final Map<String, Average> averagesByKind = new HashMap<>();

    /** Records the time of an answer of the version before. */
    public void record(String kind, double millis) {
        averagesByKind.merge(kind, new Average(millis, 1), (known, _new) -> known.plusAnswer(millis));
    }

    /** Returns a time as a multiple of the usual one; empty if that is not known. */
    public OptionalDouble ratioToBaseline(String kind, double millis) {
        Average usual = averagesByKind.get(kind);
        return usual == null || usual.answers() < MIN_ANSWERS || usual.millis() <= 0
                ? OptionalDouble.empty()
                : OptionalDouble.of(millis / usual.millis());
    }

    private record Average(double millis, int answers) {
        Average plusAnswer(double newest) {
            return new Average(millis + (newest - millis) * SMOOTHING_FACTOR, answers + 1);
        }
    }
}
