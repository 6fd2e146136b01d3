package io.heatherloft.router.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Sends the response to one request.
 *
 * <p>Invariant: exactly one final response is sent, either at once or as a stream; anything sent after it, or after the
 * caller has disconnected, is dropped. Confined to the loop's thread.
 */
public interface CallerExchange {
    /** Sends a complete response. */
    void sendResponse(int status, HttpHeaders headers, ByteBuf body);

    /** Starts a streamed response, whose length is not known in advance. */
    void startStream(int status, HttpHeaders headers);

    /** Sends the next chunk of a stream; takes ownership of the buffer. */
    void sendChunk(ByteBuf chunk);

    /** Ends a stream normally. */
    void endStream();

    /** Closes the connection without completing the response, so that the caller can detect the truncation. */
    void abort();

    /** Returns true if the final response has been sent or the caller has disconnected. */
    boolean hasEnded();

    /** Returns false while the write buffer is full because the caller reads too slowly. */
    boolean isWritable();

    /** Sets the listener for events on the caller's side; replaces the previous listener. */
    void setListener(Listener listener);

    /** Receives events on the caller's side of an exchange that has not ended. */
    interface Listener {
        /** Called when the caller has closed its connection. */
        void onCallerDisconnected();

        /** Called when {@link CallerExchange#isWritable} has changed. */
        void onWritabilityChanged();

        /** Called when the host ends: the request must get its final response now, or be aborted if that has begun. */
        default void onHostStopping() {}

        /** Describes the request, for logs and metrics. */
        default OpenRequest describe(long arrivedAtMillis) {
            return OpenRequest.of(OpenRequest.State.WAITING, arrivedAtMillis);
        }
    }
}
