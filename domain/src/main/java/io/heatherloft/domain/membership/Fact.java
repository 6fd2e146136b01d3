package io.heatherloft.domain.membership;

/**
 * News that every host needs and that is only ever added: merged by union, so order and repetition do not matter.
 *
 * <p>Immutable and thread-safe.
 *
 * @param subject what it is about, such as the address of a backend server, a version or a request fingerprint
 * @param detail a second name where the kind needs one, such as the backend server lost to a request
 * @param generation configuration generation in force when it was found
 * @param expiresAtMillis wall-clock time after which it is forgotten
 */
public record Fact(Kind kind, String subject, String detail, long generation, long expiresAtMillis) {
    /** What a fact says. */
    public enum Kind {
        /** A backend server is leaving and takes no new work. */
        BACKEND_LEAVING,
        /** A version gave poor answers; the detail names the declaration of its model, and a new one lifts it. */
        VERSION_QUARANTINED,
        /** A backend server was lost while it ran the request. */
        CRASHED_BACKEND
    }
}
