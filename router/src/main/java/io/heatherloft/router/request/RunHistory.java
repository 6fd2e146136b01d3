package io.heatherloft.router.request;

import io.heatherloft.domain.route.RepeatPolicy;

/**
 * The runs of one request, as far as its host knows them; decides whether the request may run again.
 *
 * <p>A send may have been executed unless the server, or the connection, shows that it was not. Invariant: a request whose
 * policy allows a single run is not sent while an earlier send may have been executed, whatever the reason to send it again.
 * Confined to the loop's thread.
 */
final class RunHistory {
    private final RepeatPolicy policy;
    private boolean earlierMayHaveExecuted;
    private boolean lastMayHaveExecuted;

    RunHistory(RepeatPolicy policy) {
        this.policy = policy;
    }

    /** Returns true if the request may be sent to a server now. */
    boolean mayRun() {
        return policy.mayRepeat() || !mayHaveExecuted();
    }

    /** Returns true if a server may have executed the request, or may do so now. */
    boolean mayHaveExecuted() {
        return earlierMayHaveExecuted || lastMayHaveExecuted;
    }

    /**
     * Records that the request is sent.
     *
     * @throws IllegalStateException if it must not run again
     */
    void recordSend() {
        if (!mayRun()) {
            throw new IllegalStateException("request of policy " + policy + " may have run and is sent again");
        }
        earlierMayHaveExecuted |= lastMayHaveExecuted;
        lastMayHaveExecuted = true;
    }

    /** Records that the last send has not been executed and will not be. */
    void recordNotExecuted() {
        lastMayHaveExecuted = false;
    }
}
