package io.heatherloft.domain.rollout;

import io.heatherloft.domain.StableHash;

/**
 * Schedule of a rollout: the share of sessions that the new version runs over time.
 *
 * <p>The order first spreads to all hosts, with the sessions that must not move. A canary phase with a small share limits the requests that are exposed to a bad version; a ramp to all sessions
 * follows. Existing sessions change their version only from the start of the ramp. Invariant: the share never
 * decreases. Stateless and thread-safe.
 */
public final class RolloutPlan {
    // Fractions of the rollout's duration.
    private static final double RAMP_START = 0.52;
    // A version that is slow only under load is detected some seconds after it has got that load.
    private static final double RAMP_END = 0.82;
    private static final double COMPLETION = 0.90;
    private static final double CANARY_SHARE = 0.08;
    private static final double MAX_CANARY_START = 0.12;
    // Time within which the hosts learn from each other which sessions stay on the previous version.
    private static final long SPREAD_MILLIS = 2_000L;
    // Maximum time by which the schedule may be ahead of the recorded progress: two records that are one second apart.
    private static final long MAX_UNRECORDED_MILLIS = 2_000L;

    private RolloutPlan() {}

    /** Stages of the schedule, in order. The names appear in the log. */
    public enum Stage {
        /** The order spreads to all hosts, and the new version gets no requests. */
        WAITING,
        /** The new version gets a small share of the sessions. */
        CANARY,
        /** The share rises, and sessions may move to the new version. */
        RAMP,
        /** The new version gets all requests. */
        TARGET_ONLY
    }

    /** Returns the stage of the schedule. */
    public static Stage stageAt(long elapsedMillis, long durationMillis) {
        if (elapsedMillis < Math.min(SPREAD_MILLIS, MAX_CANARY_START * durationMillis)) {
            return Stage.WAITING;
        }
        double progress = (double) elapsedMillis / durationMillis;
        if (progress < RAMP_START) {
            return Stage.CANARY;
        }
        return progress < RAMP_END ? Stage.RAMP : Stage.TARGET_ONLY;
    }

    /** Returns the share of sessions that the new version runs, from 0 to 1. */
    public static double shareAt(long elapsedMillis, long durationMillis) {
        return switch (stageAt(elapsedMillis, durationMillis)) {
            case WAITING -> 0;
            case CANARY -> CANARY_SHARE;
            case RAMP -> {
                double progress = (double) elapsedMillis / durationMillis;
                yield CANARY_SHARE + (progress - RAMP_START) / (RAMP_END - RAMP_START) * (1 - CANARY_SHARE);
            }
            case TARGET_ONLY -> 1;
        };
    }

    /** Returns true if the new version runs a session with this hash from the canary phase on. */
    public static boolean isCanary(long sessionHash) {
        return StableHash.toUnitInterval(sessionHash) < CANARY_SHARE;
    }

    /**
     * Returns the elapsed time up to which the schedule may advance, given the recorded progress.
     *
     * <p>The ramp does not start, and does not advance further than a bound, before the store has recorded the
     * progress; otherwise hosts that restart would move sessions back to the old version.
     */
    public static long limitToRecorded(long elapsedMillis, long recordedMillis, long durationMillis) {
        long rampStartMillis = (long) (RAMP_START * durationMillis) - 1;
        return Math.min(elapsedMillis, Math.max(rampStartMillis, recordedMillis + MAX_UNRECORDED_MILLIS));
    }

    /** Returns true if the progress must be recorded before the schedule may advance. */
    public static boolean needsRecord(long elapsedMillis, long recordedMillis, long durationMillis) {
        return elapsedMillis >= RAMP_START * durationMillis
                && elapsedMillis - recordedMillis >= MAX_UNRECORDED_MILLIS / 2
                && recordedMillis < COMPLETION * durationMillis;
    }

    /** Returns true if a session that was recently served by the old version may move to the new one. */
    public static boolean mayMoveSessions(long elapsedMillis, long durationMillis) {
        return elapsedMillis >= RAMP_START * durationMillis;
    }

    /** Returns true if all requests that were sent to the old version before the end of the ramp should have ended. */
    public static boolean isCompletionDue(long elapsedMillis, long durationMillis) {
        return elapsedMillis >= COMPLETION * durationMillis;
    }
}
