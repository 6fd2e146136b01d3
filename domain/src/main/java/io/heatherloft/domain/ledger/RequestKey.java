package io.heatherloft.domain.ledger;

import io.heatherloft.domain.StableHash;

/**
 * Identifies a request for billing; each key is billed once.
 *
 * <p>Invariant: a resend of a request has the same key. Immutable and thread-safe.
 *
 * @param workspace workspace that is billed
 * @param kind whether the request may be repeated; the same id with different kinds identifies different requests
 * @param requestId request id given by the caller, or generated if it gave none
 */
public record RequestKey(String workspace, Kind kind, String requestId) {
    private static final char SEPARATOR = '/';

    /** Returns a string form that is unique for each key. */
    public String text() {
        return workspace + SEPARATOR + kind + SEPARATOR + requestId;
    }

    /** Returns the hash that determines the shard and identifies settled idempotent requests. */
    public long hash() {
        return StableHash.of(text());
    }

    /**
     * Whether a request may be repeated. The names of the constants are part of the key's hash, so they must not
     * change.
     */
    public enum Kind {
        /** The request may run any number of times. */
        IDEMPOTENT,
        /** The request runs at most once. */
        AT_MOST_ONCE
    }
}
