package io.heatherloft.daemon.request;

import io.heatherloft.daemon.backend.NoCapacityException;

/**
 * Maps the failures of a chat request to problems. Stateless and thread-safe.
 */
final class ChatProblems {
    private static final long LEDGER_RETRY_MILLIS = 2_000L;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int STATUS_TOO_MANY = 429;

    private ChatProblems() {}

    static Problem ofBinding(SessionBinder.Binding binding, RunStatus run) {
        return switch (binding.refusal().orElseThrow()) {
            case NO_VERSION -> Problem.of(ProblemType.NO_VERSION, run, binding.reason());
            case SESSION_ENDED -> Problem.of(ProblemType.SESSION_ENDED, run, binding.reason());
            case LEDGER_UNAVAILABLE -> new Problem(ProblemType.UNAVAILABLE, run, binding.reason(), LEDGER_RETRY_MILLIS);
        };
    }

    static Problem ofCapacity(NoCapacityException failure, RunStatus run) {
        ProblemType type = failure.reason() == NoCapacityException.Reason.NO_BACKEND
                ? ProblemType.UNAVAILABLE
                : ProblemType.OVERLOADED;
        return new Problem(type, run, "no place on a backend server: " + failure.reason(), failure.retryAfterMillis());
    }

    /** Returns true if a response with this status should be retried on another backend server. */
    static boolean isRetryable(int status) {
        return status >= FIRST_SERVER_ERROR || status == STATUS_TOO_MANY;
    }
}
