package io.heatherloft.peer;

import io.heatherloft.peer.generated.PeerReply;
import io.heatherloft.peer.generated.PeerRequest;
import java.util.concurrent.CompletableFuture;

/**
 * Calls other entry hosts. Confined to the loop's thread.
 */
@FunctionalInterface
public interface PeerNetwork {
    /**
     * Calls the host at an address.
     *
     * @return the reply; fails with {@link PeerUnavailableException} if none came, in which case the request may or
     *     may not have been handled
     */
    CompletableFuture<PeerReply> call(String address, PeerRequest request);

    /** Answers the calls of other hosts. */
    @FunctionalInterface
    interface Handler {
        /** Handles one request. */
        CompletableFuture<PeerReply> handle(PeerRequest request);
    }
}
