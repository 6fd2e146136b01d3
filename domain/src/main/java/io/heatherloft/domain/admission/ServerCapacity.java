package io.heatherloft.domain.admission;

/**
 * Capacity of a backend server for further requests, as known to one host.
 *
 * <p>Immutable and thread-safe.
 *
 * @param slots number of requests that the server runs at once
 * @param tokenCapacity tokens that the server can hold; 0 if they are not limited
 * @param requests requests in progress on the server, of all hosts as far as known
 * @param recentRequests the part of them that is this host's own or comes from recent reports
 * @param roomFor number of requests of the same size for which the server must have room; see {@link TokenRoom}
 * @param tokens tokens held by these requests, including tokens that are reserved
 * @param rejectedRecently true if the server has just rejected a request of this host
 */
public record ServerCapacity(
        int slots,
        long tokenCapacity,
        int requests,
        int recentRequests,
        long tokens,
        int roomFor,
        boolean rejectedRecently) {
    // The part of the token capacity that is left for requests which other hosts have sent since their last reports.
    private static final long MARGIN_DIVISOR = 10;

    /** Returns true if the server has a free slot. */
    public boolean hasSlot() {
        return !rejectedRecently && requests < slots;
    }

    /** Returns true if the server would have a free slot without the reports that are not recent. */
    public boolean isFullByOldReportsOnly() {
        return !rejectedRecently && requests >= slots && recentRequests < slots;
    }

    /**
     * Returns true if the server can hold a request in addition to those that it holds and those that other hosts may send
     * meanwhile. A request that needs a part of the margin is held only by a server that is known to hold no other.
     */
    public boolean canHold(long neededTokens) {
        return tokenCapacity == 0
                || tokens + roomFor * neededTokens <= tokenCapacity - marginTokens()
                || (tokens == 0 && roomFor == 1 && canHoldAlone(neededTokens));
    }

    /** Returns true if this host could send the server the request if it held no other. */
    boolean couldHold(long neededTokens) {
        return new ServerCapacity(slots, tokenCapacity, 0, 0, 0, roomFor, false).canHold(neededTokens);
    }

    /** Returns true if the server could hold a request if it held no other. */
    public boolean canHoldAlone(long neededTokens) {
        return tokenCapacity == 0 || neededTokens <= tokenCapacity;
    }

    /** Returns the number of tokens that the server can hold in addition to those that it holds. */
    long freeTokens() {
        return tokenCapacity - tokens;
    }

    /** Returns the requests in progress per slot. */
    double requestsPerSlot() {
        return requests / (double) Math.max(1, slots);
    }

    /** Returns the capacity that is left beside a request for which a slot and tokens are kept free. */
    ServerCapacity besideReservation(long reservedTokens) {
        return new ServerCapacity(
                slots,
                tokenCapacity,
                requests + 1,
                recentRequests + 1,
                tokens + reservedTokens,
                roomFor,
                rejectedRecently);
    }

    private long marginTokens() {
        return tokenCapacity / MARGIN_DIVISOR;
    }
}
