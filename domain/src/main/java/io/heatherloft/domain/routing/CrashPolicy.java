package io.heatherloft.domain.routing;

import io.heatherloft.domain.membership.Fact;
import io.heatherloft.domain.membership.FactSet;
import java.util.Set;

/**
 * Limits the number of backend servers that a crashing request can take down.
 *
 * <p>Invariant: a request whose fingerprint was in progress on {@link #MAX_LOST_BACKENDS} lost backend servers is not
 * dispatched again until the facts expire. Confined to the thread that owns the fact set.
 */
public final class CrashPolicy {
    /** Number of lost backend servers at which a request is quarantined. */
    public static final int MAX_LOST_BACKENDS = 2;

    /** Time for which a lost backend server counts against a request, in milliseconds. */
    public static final long RETENTION_MILLIS = 600_000L;

    /** Delay before a suspect request is retried, in milliseconds; losses seen by other hosts arrive meanwhile. */
    public static final long SUSPECT_DELAY_MILLIS = 1_000L;

    private final FactSet facts;

    /** Creates a policy that reads the given facts. */
    public CrashPolicy(FactSet facts) {
        this.facts = facts;
    }

    /** Returns whether and how a request may be dispatched. */
    public RequestStatus statusOf(String fingerprint) {
        int lost = lostBackends(fingerprint).size();
        if (lost >= MAX_LOST_BACKENDS) {
            return RequestStatus.QUARANTINED;
        }
        return lost > 0 ? RequestStatus.SUSPECT : RequestStatus.CLEAR;
    }

    /** Returns the addresses of the backend servers that were lost with the request in progress. */
    public Set<String> lostBackends(String fingerprint) {
        return facts.details(Fact.Kind.CRASHED_BACKEND, fingerprint);
    }

    /** Whether and how a request may be dispatched. */
    public enum RequestStatus {
        /** May share a backend server with other requests. */
        CLEAR,
        /** Runs alone on its backend server, so that a crash can be attributed to it. */
        SUSPECT,
        /** Must not be dispatched. */
        QUARANTINED
    }
}
