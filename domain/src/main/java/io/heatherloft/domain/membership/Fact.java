package io.heatherloft.domain.membership;

/**
 * An element of a grow-only set that is replicated to all hosts; sets are merged by union, so the order and number of
 * deliveries do not matter.
 *
 * <p>Immutable and thread-safe.
 *
 * @param subject what the fact is about, such as the address of a backend server, a version or a request fingerprint
 * @param detail further qualifier for some kinds, such as the backend server that was lost
 * @param generation configuration generation in force when the fact was recorded
 * @param expiresAtMillis wall-clock time after which the fact is discarded
 */
public record Fact(Kind kind, String subject, String detail, long generation, long expiresAtMillis) {
    /** The statement that a fact makes. */
    public enum Kind {
        /** A backend server is leaving and receives no new requests. */
        BACKEND_LEAVING,
        /**
         * The answers of a version were rated poor; the detail is the digest of its model's declaration, so that a new
         * declaration ends the quarantine.
         */
        VERSION_QUARANTINED,
        /** A backend server was lost while it ran the request. */
        CRASHED_BACKEND
    }
}
