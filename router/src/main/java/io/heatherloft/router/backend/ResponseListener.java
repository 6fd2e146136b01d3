package io.heatherloft.router.backend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives a backend server's response in one exchange.
 *
 * <p>The last call is exactly one of {@link #onComplete} and {@link #onFailure}, unless the exchange is cancelled. All
 * calls are made on the loop's thread.
 */
public interface ResponseListener {
    /** Called when the first byte after the request has arrived, which need not belong to its response. */
    default void onFirstByte() {}

    /**
     * Called with the status and headers of the final response; interim (1xx) responses are skipped.
     *
     * @return false if the response belongs to another exchange; it is then discarded and the next response awaited
     */
    boolean onHeaders(int status, HttpHeaders headers);

    /** Called with a chunk of the body. The caller owns the buffer: retain or copy it to use it after the call. */
    void onContent(ByteBuf chunk);

    /** Called when the whole response has been received. */
    void onComplete();

    /** Called when the exchange has failed. */
    void onFailure(ExchangeFailure failure);
}
