package io.heatherloft.daemon.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.queue.ChannelBuffer;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.heatherloft.daemon.request.CallerChannel;
import io.heatherloft.domain.Bytes;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * A caller on an HTTP connection.
 *
 * <p>Invariant: an aborted answer ends without the last chunk, so no client takes it for whole. Confined to the loop's
 * thread.
 */
final class HttpCallerChannel implements CallerChannel {
    private static final int MAX_BUFFERED_CHUNKS = 64;

    private final SettablePromise<HttpResponse> response = new SettablePromise<>();
    private final ChannelBuffer<ByteBuf> chunks = new ChannelBuffer<>(1, MAX_BUFFERED_CHUNKS);
    private final List<Runnable> disconnectListeners = new ArrayList<>();
    private boolean ended;

    Promise<HttpResponse> response() {
        return response;
    }

    @Override
    public void start(ResponseHead head) {
        HttpResponse.Builder builder = HttpResponse.ofCode(head.status())
                .withHeader(HttpHeaders.CONTENT_TYPE, head.contentType())
                .withBodyStream(chunks.getSupplier());
        head.headers().forEach(header -> builder.withHeader(HttpHeaders.of(header.name()), header.value()));
        chunks.setCloseable(_exception -> onClosed());
        response.trySet(builder.build());
    }

    @Override
    public CompletableFuture<Void> write(Bytes chunk) {
        if (ended || chunk.length() == 0) {
            return CompletableFuture.completedFuture(null);
        }
        return chunks.put(ByteBuf.wrapForReading(chunk.toArray())).toCompletableFuture();
    }

    @Override
    public void finish() {
        if (!ended) {
            ended = true;
            chunks.put(null).whenException(_exception -> onClosed());
        }
    }

    @Override
    public void abort() {
        ended = true;
        chunks.closeEx(new ResponseAbortedException());
    }

    @Override
    public void onDisconnect(Runnable listener) {
        disconnectListeners.add(listener);
    }

    private void onClosed() {
        if (!ended) {
            ended = true;
            disconnectListeners.forEach(Runnable::run);
        }
    }

    /** The answer cannot be completed. */
    static final class ResponseAbortedException extends Exception {
        private static final long serialVersionUID = 1L;

        ResponseAbortedException() {
            super("the answer cannot be completed");
        }
    }
}
