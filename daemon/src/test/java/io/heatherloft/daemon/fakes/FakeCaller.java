package io.heatherloft.daemon.fakes;

import io.heatherloft.daemon.request.CallerChannel;
import io.heatherloft.domain.Bytes;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A caller that keeps what it receives. */
public final class FakeCaller implements CallerChannel {
    private final StringBuilder body = new StringBuilder();
    private final List<Runnable> goneListeners = new ArrayList<>();
    private Optional<ResponseHead> head = Optional.empty();
    private boolean finished;
    private boolean aborted;

    @Override
    public void start(ResponseHead received) {
        if (head.isPresent()) {
            throw new IllegalStateException("an answer was started twice");
        }
        head = Optional.of(received);
    }

    @Override
    public CompletableFuture<Void> write(Bytes chunk) {
        if (finished || aborted) {
            throw new IllegalStateException("written after the end");
        }
        body.append(chunk.toText());
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public void finish() {
        if (finished || aborted) {
            throw new IllegalStateException("ended twice");
        }
        finished = true;
    }

    @Override
    public void abort() {
        if (finished || aborted) {
            throw new IllegalStateException("ended twice");
        }
        aborted = true;
    }

    @Override
    public void onDisconnect(Runnable listener) {
        goneListeners.add(listener);
    }

    public void goAway() {
        aborted = true;
        goneListeners.forEach(Runnable::run);
    }

    public boolean isFinished() {
        return finished;
    }

    public boolean isAborted() {
        return aborted;
    }

    public boolean isEnded() {
        return finished || aborted;
    }

    public int status() {
        return head.map(ResponseHead::status).orElse(0);
    }

    public String header(String name) {
        return head.stream()
                .flatMap(received -> received.headers().stream())
                .filter(field -> field.name().equals(name))
                .map(HeaderField::value)
                .findFirst()
                .orElse("");
    }

    public String body() {
        return body.toString();
    }
}
