package io.heatherloft.domain.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * The usual time of answers by kind, against which those of a version on trial are held.
 *
 * <p>Invariant: a kind has no usual time before {@link #FEWEST_ANSWERS} answers. Confined to one thread.
 */
public final class SpeedBaseline {
    private static final int FEWEST_ANSWERS = 5;
    private static final double NEWEST_WEIGHT = 0.1;

    private final Map<String, Usual> usualByKind = new HashMap<>();

    /** Records the time of an answer of the version before. */
    public void record(String kind, double millis) {
        usualByKind.merge(kind, new Usual(millis, 1), (known, _new) -> known.with(millis));
    }

    /** Returns a time as a multiple of the usual one; empty if that is not known. */
    public OptionalDouble timeOverUsual(String kind, double millis) {
        Usual usual = usualByKind.get(kind);
        return usual == null || usual.answers() < FEWEST_ANSWERS || usual.millis() <= 0
                ? OptionalDouble.empty()
                : OptionalDouble.of(millis / usual.millis());
    }

    private record Usual(double millis, int answers) {
        Usual with(double newest) {
            return new Usual(millis + (newest - millis) * NEWEST_WEIGHT, answers + 1);
        }
    }
}
