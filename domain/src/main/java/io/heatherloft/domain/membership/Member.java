package io.heatherloft.domain.membership;

/**
 * An entry host as its peers know it.
 *
 * <p>Invariant: a higher incarnation, or for the same one a higher {@code refutation}, supersedes a lower; a host that
 * restarts has a higher incarnation. Immutable and safe for use by several threads.
 *
 * @param id name of the host, stable over restarts
 * @param incarnation start time of the process, in milliseconds
 * @param refutation number of times the process denied a suspicion of itself
 * @param address IP number and port of its peer listener
 */
public record Member(
        String id, long incarnation, int refutation, String address, String availabilityZone, Status status) {
    /** Liveness, in the order in which one claim about the same incarnation overrides another. */
    public enum Status {
        /** Answers. */
        ALIVE,
        /** Did not answer lately; removed unless it denies the suspicion. */
        SUSPECT,
        /** Did not deny the suspicion, or stopped in order. */
        DEAD
    }

    /** Returns this member with another status. */
    public Member withStatus(Status changed) {
        return new Member(id, incarnation, refutation, address, availabilityZone, changed);
    }

    /** Returns a name for this process: the host and its incarnation. */
    public String incarnationName() {
        return id + "#" + incarnation;
    }

    /** Returns true if this claim overrides {@code other} about the same host. */
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
