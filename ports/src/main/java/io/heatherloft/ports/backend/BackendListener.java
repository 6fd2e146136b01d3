package io.heatherloft.ports.backend;

import io.heatherloft.domain.Bytes;
import java.util.concurrent.CompletableFuture;

/**
 * Receives the answer to one request.
 *
 * <p>Invariant: one {@code onHead}, any number of {@code onChunk}, then one {@code onEnd}; or at any point one
 * {@code onFailure} and nothing after it. Called on the loop's thread.
 */
public interface BackendListener {
    /** The status and headers have come. */
    void onHead(BackendResponseHead head);

    /** A part of the body has come; the next is read when the returned future completes. */
    CompletableFuture<Void> onChunk(Bytes chunk);

    /** The answer is complete. */
    void onEnd();

    /** The exchange ended early. */
    void onFailure(BackendFailure failure);
}
