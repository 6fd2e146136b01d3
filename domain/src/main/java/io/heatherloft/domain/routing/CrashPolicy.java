package io.heatherloft.domain.routing;

import io.heatherloft.domain.membership.Fact;
import io.heatherloft.domain.membership.FactSet;
import java.util.Set;

/**
 * Limits the damage of a request that crashes the backend servers it runs on.
 *
 * <p>Invariant: a request whose fingerprint was in progress on {@link #MAX_LOST_BACKENDS} lost backend servers is not
 * dispatched again until the facts expire. Confined to the thread of the fact set.
 */
public final class CrashPolicy {
    /** Backend servers that one request may cost the fleet. */
    public static final int MAX_LOST_BACKENDS = 2;

    /** Time for which a loss is held against a request, in milliseconds. */
    public static final long RETENTION_MILLIS = 600_000L;

    /** Pause before a suspect runs again, so that losses seen by other hosts become known, in milliseconds. */
    public static final long SUSPECT_DELAY_MILLIS = 1_000L;

    private final FactSet facts;

    /** Creates rules over the facts known now. */
    public CrashPolicy(FactSet facts) {
        this.facts = facts;
    }

    /** Returns what may be done with a request. */
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

    /** What may be done with a request. */
    public enum RequestStatus {
        /** Runs beside others. */
        CLEAR,
        /** Runs alone on its backend server, so that a crash shows who caused it. */
        SUSPECT,
        /** Does not run. */
        QUARANTINED
    }
}
