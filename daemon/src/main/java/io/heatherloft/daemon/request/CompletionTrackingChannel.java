package io.heatherloft.daemon.request;

import io.heatherloft.domain.Bytes;
import java.util.concurrent.CompletableFuture;

/**
 * Delegates to another channel and runs a callback when the response has finished, was aborted, or the caller has
 * disconnected.
 *
 * <p>Invariant: the callback runs at most once. Confined to the event loop thread.
 */
final class CompletionTrackingChannel implements CallerChannel {
    private final CallerChannel channel;
    private final Runnable onEnded;
    private boolean ended;

    CompletionTrackingChannel(CallerChannel channel, Runnable onEnded) {
        this.channel = channel;
        this.onEnded = onEnded;
        channel.onDisconnect(this::end);
    }

    @Override
    public void start(ResponseHead head) {
        channel.start(head);
    }

    @Override
    public CompletableFuture<Void> write(Bytes chunk) {
        return channel.write(chunk);
    }

    @Override
    public void finish() {
        channel.finish();
        end();
    }

    @Override
    public void abort() {
        channel.abort();
        end();
    }

    @Override
    public void onDisconnect(Runnable listener) {
        channel.onDisconnect(listener);
    }

    private void end() {
        if (!ended) {
            ended = true;
            onEnded.run();
        }
    }
}
