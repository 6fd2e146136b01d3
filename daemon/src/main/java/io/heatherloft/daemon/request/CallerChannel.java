package io.heatherloft.daemon.request;

import io.heatherloft.domain.Bytes;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Writes the response to one caller.
 *
 * <p>Call {@code start} once, then {@code write} any number of times, then either {@code finish} or {@code abort} once.
 * The caller can tell an aborted response from a complete one. Confined to the event loop thread.
 */
public interface CallerChannel {
    /** Sends the status and the headers. */
    void start(ResponseHead head);

    /** Sends a chunk of the body; the future completes when the channel accepts the next one. */
    CompletableFuture<Void> write(Bytes chunk);

    /** Completes the response. */
    void finish();

    /** Closes the connection, so that the caller detects that the response is incomplete. */
    void abort();

    /** Adds a listener that is called if the caller disconnects before the end of the response. */
    void onDisconnect(Runnable listener);

    /** Status and headers of a response. */
    record ResponseHead(int status, String contentType, List<HeaderField> headers) {}

    /** A header field. */
    record HeaderField(String name, String value) {}
}
