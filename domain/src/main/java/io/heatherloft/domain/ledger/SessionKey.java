package io.heatherloft.domain.ledger;

import io.heatherloft.domain.StableHash;

/**
 * Identifies a session in combination with a model; a session is pinned to one version of each model that it uses.
 *
 * <p>Immutable and thread-safe.
 */
public record SessionKey(String workspace, String sessionId, String model) {
    private static final char SEPARATOR = '/';

    /** Returns a string form that is unique for each key. */
    public String text() {
        return "session" + SEPARATOR + workspace + SEPARATOR + model + SEPARATOR + sessionId;
    }

    /** Returns the hash that determines the shard and identifies the pin. */
    public long hash() {
        return StableHash.of(text());
    }
}
