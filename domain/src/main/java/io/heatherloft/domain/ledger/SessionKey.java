package io.heatherloft.domain.ledger;

import io.heatherloft.domain.StableHash;

/**
 * Identifies a session and the model that it is bound on; a session has one version of each model it uses.
 *
 * <p>Immutable and thread-safe.
 */
public record SessionKey(String workspace, String sessionId, String model) {
    private static final char SEPARATOR = '/';

    /** Returns a form that is unique for each key. */
    public String text() {
        return "session" + SEPARATOR + workspace + SEPARATOR + model + SEPARATOR + sessionId;
    }

    /** Returns the hash that chooses the shard and identifies the pin. */
    public long hash() {
        return StableHash.of(text());
    }
}
