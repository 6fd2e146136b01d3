package io.heatherloft.domain.membership;

/**
 * An entry host as known to its peers.
 *
 * <p>Invariant: a higher incarnation supersedes a lower one and, within an incarnation, a higher {@code refutation}
 * supersedes a lower one; a restart increases the incarnation. Immutable and thread-safe.
 *
 * @param id name of the host, stable across restarts
 * @param incarnation start time of the process, in milliseconds
 * @param refutation number of times that the process refuted a suspicion of itself
 * @param address IP address and port of its peer listener
 */
public record Member(
        String id, long incarnation, int refutation, String address, String availabilityZone, Status status) {
    /** Liveness, in ascending order of precedence among claims about the same incarnation. */
    public enum Status {
        /** Responds to probes. */
        ALIVE,
        /** Did not respond to probes; declared dead unless it refutes the suspicion in time. */
        SUSPECT,
        /** Did not refute the suspicion, or left on shutdown. */
        DEAD
    }

    /** Returns this member with the given status. */
    public Member withStatus(Status newStatus) {
        return new Member(id, incarnation, refutation, address, availabilityZone, newStatus);
    }

    /** Returns the name of this process, which consists of the host's id and its incarnation. */
    public String incarnationName() {
        return id + "#" + incarnation;
    }

    /** Returns true if this claim takes precedence over {@code other}, a claim about the same host. */
    public boolean supersedes(Member other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        if (refutation != other.refutation) {
            return refutation > other.refutation;
        }
        return status.compareTo(other.status) > 0;
    }
}
