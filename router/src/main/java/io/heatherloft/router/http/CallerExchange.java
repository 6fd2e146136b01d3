package io.heatherloft.router.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Where the answer to one request goes.
 *
 * <p>Invariant: one final answer is sent, either whole or as a stream; what comes after it, or after the caller has
 * left, is dropped. Confined to the loop's thread.
 */
public interface CallerExchange {
    /** Sends a whole answer. */
    void sendResponse(int status, HttpHeaders headers, ByteBuf body);

    /** Starts an answer of unknown length. */
    void startStream(int status, HttpHeaders headers);

    /** Sends the next part of a stream; takes over the buffer. */
    void sendChunk(ByteBuf part);

    /** Ends a stream as complete. */
    void endStream();

    /** Closes the connection so that the answer does not look complete. */
    void abort();

    /** Returns true if the final answer was given or the caller has left. */
    boolean hasEnded();

    /** Returns false while the caller reads too slowly for more parts to be sent. */
    boolean isWritable();

    /** Sets what is told when the caller leaves and when it can take more; replaces the listener before. */
    void setListener(Listener listener);

    /** Is told of the caller's side of an exchange that has not ended. */
    interface Listener {
        /** The caller closed its connection. */
        void onCallerDisconnected();

        /** {@link CallerExchange#isWritable} has changed. */
        void onWritabilityChanged();
    }
}
