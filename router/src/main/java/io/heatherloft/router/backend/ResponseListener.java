package io.heatherloft.router.backend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives the answer of a backend server to one exchange.
 *
 * <p>Invariant: {@link #onComplete} or {@link #onFailure} comes last, once, unless the exchange is cancelled. Called on the
 * loop's thread.
 */
public interface ResponseListener {
    /**
     * The header has arrived.
     *
     * @return false if the answer belongs to another exchange; it is then dropped and the next one awaited
     */
    boolean onHeaders(int status, HttpHeaders headers);

    /** A part of the body has arrived; the buffer belongs to the caller of this method. */
    void onContent(ByteBuf part);

    /** The answer is complete. */
    void onComplete();

    /** The exchange has failed. */
    void onFailure(ExchangeFailure failure);
}
