package io.heatherloft.daemon.request;

import io.heatherloft.domain.Bytes;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The way back to one caller.
 *
 * <p>Invariant: one {@code start}, any number of {@code write}, then one {@code finish} or {@code abort}; an answer that
 * was aborted cannot be taken for a whole one. Confined to the loop's thread.
 */
public interface CallerChannel {
    /** Sends status and headers. */
    void start(ResponseHead head);

    /** Sends a part of the body; the future completes when the caller can take more. */
    CompletableFuture<Void> write(Bytes chunk);

    /** Ends the answer. */
    void finish();

    /** Breaks the connection, so that the caller sees that the answer is not whole. */
    void abort();

    /** Calls back when the caller has gone before the end. */
    void onDisconnect(Runnable listener);

    /** Status and headers of an answer. */
    record ResponseHead(int status, String contentType, List<HeaderField> headers) {}

    /** A header field. */
    record HeaderField(String name, String value) {}
}
