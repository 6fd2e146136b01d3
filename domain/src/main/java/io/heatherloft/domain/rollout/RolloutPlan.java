package io.heatherloft.domain.rollout;

/**
 * Says which share of the sessions the new version runs as a roll-out goes on.
 *
 * <p>The share stays small while the version is on trial, so that a bad one is met by few requests, and rises once the
 * trial is over; sessions change their version in the second part only. Invariant: the share never falls. Stateless and
 * safe for use by several threads.
 */
public final class RolloutPlan {
    // Fractions of the roll-out's duration.
    private static final double CANARY_START = 0.02;
    private static final double RAMP_START = 0.60;
    private static final double RAMP_END = 0.72;
    private static final double COMPLETION = 0.90;
    private static final double CANARY_SHARE = 0.08;
    // Time by which the plan may be ahead of what was recorded of it; two records a second apart.
    private static final long MAX_UNRECORDED_MILLIS = 2_000L;

    private RolloutPlan() {}

    /** Returns the share of sessions that the new version runs, from 0 to 1. */
    public static double shareAt(long elapsedMillis, long durationMillis) {
        double progress = (double) elapsedMillis / durationMillis;
        if (progress < CANARY_START) {
            return 0;
        }
        if (progress < RAMP_START) {
            return CANARY_SHARE;
        }
        double rise = (progress - RAMP_START) / (RAMP_END - RAMP_START);
        return Math.min(1, CANARY_SHARE + rise * (1 - CANARY_SHARE));
    }

    /**
     * Returns how far the plan may have come, given what was recorded.
     *
     * <p>Sessions do not begin to move, and the share does not rise much further, before the store has recorded it:
     * hosts that restart would otherwise move sessions back.
     */
    public static long limitToRecorded(long elapsedMillis, long recordedMillis, long durationMillis) {
        long startOfRise = (long) (RAMP_START * durationMillis) - 1;
        return Math.min(elapsedMillis, Math.max(startOfRise, recordedMillis + MAX_UNRECORDED_MILLIS));
    }

    /** Returns true if the progress is to be recorded before the plan goes on. */
    public static boolean needsRecord(long elapsedMillis, long recordedMillis, long durationMillis) {
        return elapsedMillis >= RAMP_START * durationMillis
                && elapsedMillis - recordedMillis >= MAX_UNRECORDED_MILLIS / 2
                && recordedMillis < COMPLETION * durationMillis;
    }

    /** Returns true if a session that the old version ran lately may move to the new one. */
    public static boolean mayMoveSessions(long elapsedMillis, long durationMillis) {
        return elapsedMillis >= RAMP_START * durationMillis;
    }

    /** Returns true if requests sent to the old version before the end of the rise have ended by now. */
    public static boolean isCompletionDue(long elapsedMillis, long durationMillis) {
        return elapsedMillis >= COMPLETION * durationMillis;
    }
}
