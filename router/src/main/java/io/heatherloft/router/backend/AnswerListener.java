package io.heatherloft.router.backend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives the answer of a backend server to one exchange.
 *
 * <p>Invariant: {@link #onEnd} or {@link #onFailure} comes last, once, unless the exchange is cancelled. Called on the
 * loop's thread.
 */
public interface AnswerListener {
    /**
     * The header has arrived.
     *
     * @return false if the answer belongs to another exchange; it is then dropped and the next one awaited
     */
    boolean onHead(int status, HttpHeaders headers);

    /** A part of the body has arrived; the buffer belongs to the caller of this method. */
    void onPart(ByteBuf part);

    /** The answer is complete. */
    void onEnd();

    /** The exchange has failed. */
    void onFailure(ExchangeFailure failure);
}
