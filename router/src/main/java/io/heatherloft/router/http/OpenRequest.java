package io.heatherloft.router.http;

import java.util.Locale;
import java.util.Optional;

/**
 * A request that this host has begun to read and whose response the caller's socket has not taken completely.
 *
 * <p>Immutable and thread-safe.
 *
 * @param state what the request waits for
 * @param requestId id that the caller gave the request; empty if it is not known yet
 * @param arrivedAtMillis loop time at which the first byte of the request was read
 * @param sent the server that runs the request; empty if there is none
 */
public record OpenRequest(State state, String requestId, long arrivedAtMillis, Optional<Sent> sent) {
    /** What an open request waits for. */
    public enum State {
        /** The rest of the request has not been read yet. */
        ARRIVING,
        /** The request follows another one on its connection, which has no complete response yet. */
        PIPELINED,
        /** The host has not read the state of the fleet yet. */
        KEPT_FOR_START,
        /** No server runs the request. */
        WAITING,
        /** A server runs the request, and the caller has got no part of a response. */
        SENT,
        /** The caller has got a part of the response. */
        RESPONSE_BEGUN,
        /** The response is complete, but the caller's socket has not taken all of it. */
        RESPONSE_IN_BUFFER;

        /** Returns the name of the state in logs and metrics. */
        public String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * A request's dispatch to a server.
     *
     * @param atMillis loop time of the dispatch
     */
    public record Sent(String serverId, long atMillis) {}

    static OpenRequest of(State state, long arrivedAtMillis) {
        return new OpenRequest(state, "", arrivedAtMillis, Optional.empty());
    }
}
