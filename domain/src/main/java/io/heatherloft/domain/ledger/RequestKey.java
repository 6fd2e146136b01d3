package io.heatherloft.domain.ledger;

import io.heatherloft.domain.StableHash;

/**
 * Identifies a request for billing: the unit that is billed once.
 *
 * <p>Invariant: a resend of a request has the same key. Immutable and thread-safe.
 *
 * @param workspace workspace that pays
 * @param kind whether the request may be repeated; an id used for both kinds names two requests
 * @param requestId the caller's request id, or one minted for it
 */
public record RequestKey(String workspace, Kind kind, String requestId) {
    private static final char SEPARATOR = '/';

    /** Returns a form that is unique for each key. */
    public String text() {
        return workspace + SEPARATOR + kind + SEPARATOR + requestId;
    }

    /** Returns the hash that chooses the shard and identifies settled idempotent requests. */
    public long hash() {
        return StableHash.of(text());
    }

    /** Whether a request may be repeated. */
    public enum Kind {
        /** Running it again does no harm. */
        IDEMPOTENT,
        /** It runs at most once. */
        AT_MOST_ONCE
    }
}
