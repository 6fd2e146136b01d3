package io.heatherloft.daemon.request;

import io.heatherloft.domain.Bytes;
import java.util.concurrent.CompletableFuture;

/**
 * A channel that tells when its answer has ended, in whatever way.
 *
 * <p>Invariant: tells once. Confined to the loop's thread.
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
