package io.heatherloft.daemon.request;

import io.heatherloft.daemon.backend.Slot;
import io.heatherloft.domain.Bytes;
import io.heatherloft.ports.backend.BackendClient;
import io.heatherloft.ports.backend.BackendFailure;
import io.heatherloft.ports.backend.BackendListener;
import io.heatherloft.ports.backend.BackendRequest;
import io.heatherloft.ports.backend.BackendResponseHead;
import io.heatherloft.ports.loop.Loop;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * One exchange with a backend server of a plain service.
 *
 * <p>Invariant: the listener is called once. Confined to the loop's thread.
 */
final class ServiceAttempt implements BackendListener {
    private static final int MAX_ANSWER_BYTES = 4_194_304;

    private final Loop loop;
    private final Slot slot;
    private final Listener listener;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private BackendResponseHead head;
    private BackendClient.Exchange exchange = () -> {};
    private Loop.Cancellation timer = () -> {};
    private boolean ended;

    ServiceAttempt(Loop loop, Slot slot, Listener listener) {
        this.loop = loop;
        this.slot = slot;
        this.listener = listener;
    }

    void send(BackendClient client, ServiceCall call, long timeoutMillis) {
        BackendRequest request = new BackendRequest(
                slot.server().address(),
                call.method(),
                call.pathAndQuery(),
                List.of(new BackendRequest.Header("Content-Type", call.contentType())),
                call.body(),
                call.isIdempotent());
        timer = loop.schedule(timeoutMillis, () -> {
            exchange.cancel();
            onFailure(new BackendFailure(BackendFailure.Kind.TIMED_OUT, "no answer in " + timeoutMillis + " ms"));
        });
        exchange = client.send(request, this);
    }

    @Override
    public void onHead(BackendResponseHead received) {
        head = received;
        slot.recordResponse();
    }

    @Override
    public CompletableFuture<Void> onChunk(Bytes chunk) {
        body.writeBytes(chunk.toArray());
        if (body.size() > MAX_ANSWER_BYTES) {
            exchange.cancel();
            onFailure(new BackendFailure(
                    BackendFailure.Kind.BROKEN, "the answer is longer than " + MAX_ANSWER_BYTES + " bytes"));
        }
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public void onEnd() {
        if (end()) {
            if (head.leaving()) {
                listener.onNotRun(true);
            } else {
                listener.onAnswer(head.status(), head.contentType(), Bytes.copyOf(body.toByteArray()));
            }
        }
    }

    @Override
    public void onFailure(BackendFailure failure) {
        if (end()) {
            slot.recordLoss(loop.nowMillis());
            if (failure.kind() == BackendFailure.Kind.NOT_SENT) {
                listener.onNotRun(false);
            } else {
                listener.onExchangeFailed(failure);
            }
        }
    }

    private boolean end() {
        if (ended) {
            return false;
        }
        ended = true;
        timer.cancel();
        slot.release();
        return true;
    }

    /** Receives what comes of an attempt. */
    interface Listener {
        /** The answer is complete. */
        void onAnswer(int status, String contentType, Bytes body);

        /** The call certainly did not run: no connection was made, or the backend server refused it as leaving. */
        void onNotRun(boolean leaving);

        /** The exchange failed; the call may have run. */
        void onExchangeFailed(BackendFailure failure);
    }
}
