package io.heatherloft.ports.backend;

import io.heatherloft.domain.Bytes;
import java.util.concurrent.CompletableFuture;

/**
 * Receives the response to one request.
 *
 * <p>The order of calls is one {@code onHead}, any number of {@code onChunk}, then one {@code onEnd}. At any point
 * before {@code onEnd}, one {@code onFailure} may follow instead, after which there are no further calls. Called on the
 * event loop thread.
 */
public interface BackendListener {
    /** Called when the status and headers have been received. */
    void onHead(BackendResponseHead head);

    /** Called with a part of the body. The next part is read after the returned future completes. */
    CompletableFuture<Void> onChunk(Bytes chunk);

    /** Called when the response is complete. */
    void onEnd();

    /** Called when the exchange ends before the response is complete. */
    void onFailure(BackendFailure failure);
}
