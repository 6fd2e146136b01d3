package io.heatherloft.peer;

import io.heatherloft.peer.generated.PeerReply;
import io.heatherloft.peer.generated.PeerRequest;
import java.util.concurrent.CompletableFuture;

/**
 * Client for remote calls to other entry hosts. Confined to the event loop thread.
 */
@FunctionalInterface
public interface PeerNetwork {
    /**
     * Sends a request to the host at {@code address}.
     *
     * @param address IP address and port
     * @return the reply; fails with {@link PeerUnavailableException} if none arrives, in which case the host may or may
     *     not have handled the request
     */
    CompletableFuture<PeerReply> call(String address, PeerRequest request);

    /** Handles requests from other hosts. */
    @FunctionalInterface
    interface Handler {
        /** Handles a request. If the returned future fails, no reply is sent. */
        CompletableFuture<PeerReply> handle(PeerRequest request);
    }
}
