package io.heatherloft.daemon.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.heatherloft.daemon.backend.Slot;
import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.routing.BackendServer;
import io.heatherloft.ports.backend.BackendClient;
import io.heatherloft.ports.backend.BackendFailure;
import io.heatherloft.ports.backend.BackendListener;
import io.heatherloft.ports.backend.BackendRequest;
import io.heatherloft.ports.backend.BackendResponseHead;
import io.heatherloft.ports.http.LineSplitter;
import io.heatherloft.ports.loop.Loop;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * One exchange with an engine for a chat completion.
 *
 * <p>Invariants: exactly one of the listener's methods {@code onComplete}, {@code onLeaving} and {@code onFailure} is
 * called, once, unless the attempt is cancelled; a stream counts as complete only if its closing event has been received.
 * Confined to the event loop thread.
 */
final class ModelAttempt implements BackendListener {
    private static final String EVENT_PREFIX = "data:";
    private static final String CLOSING_EVENT = "[DONE]";
    private static final String JSON = "application/json";
    private static final int STATUS_OK = 200;

    private final Loop loop;
    private final ChatRequest request;
    private final Slot slot;
    private final boolean buffered;
    private final Listener listener;
    private final List<String> bufferedEvents = new ArrayList<>();
    private final LineSplitter lines = new LineSplitter();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final StringBuilder text = new StringBuilder();
    private final long sentAtMillis;
    private Optional<BackendResponseHead> head = Optional.empty();
    private Optional<TokenUsage> usage = Optional.empty();
    private BackendClient.Exchange exchange = () -> {};
    private long outputEvents;
    private boolean closingEventReceived;
    private boolean ended;
    private boolean answerStarted;

    /** Creates an attempt whose events are either buffered until its end or forwarded as they arrive. */
    ModelAttempt(Loop loop, ChatRequest request, Slot slot, boolean buffered, Listener listener) {
        this.loop = loop;
        this.request = request;
        this.slot = slot;
        this.buffered = buffered;
        this.listener = listener;
        this.sentAtMillis = loop.nowMillis();
    }

    void send(BackendClient client, String version, String partialText) {
        BackendRequest backendRequest = new BackendRequest(
                slot.server().address(),
                "POST",
                "/v1/chat/completions",
                List.of(new BackendRequest.Header("Content-Type", JSON)),
                request.bodyFor(version, partialText),
                true);
        exchange = client.send(backendRequest, this);
    }

    /** Cancels the exchange; the listener is not called again. */
    void cancel() {
        ended = true;
        exchange.cancel();
        slot.release();
    }

    /** Returns the number of content events received so far; each carries one token. */
    long outputEvents() {
        return outputEvents;
    }

    long sentAtMillis() {
        return sentAtMillis;
    }

    boolean isBuffered() {
        return buffered;
    }

    /** Returns the text received so far. */
    String text() {
        return text.toString();
    }

    String backendServer() {
        return slot.server().address();
    }

    @Override
    public void onHead(BackendResponseHead received) {
        head = Optional.of(received);
        received.queueLength().ifPresent(slot::recordQueueLength);
    }

    @Override
    public CompletableFuture<Void> onChunk(Bytes chunk) {
        if (!answerStarted) {
            answerStarted = true;
            slot.recordResponse();
        }
        if (!isEventStream()) {
            body.writeBytes(chunk.toArray());
            return CompletableFuture.completedFuture(null);
        }
        CompletableFuture<Void> written = CompletableFuture.completedFuture(null);
        for (String line : lines.add(chunk.toArray())) {
            if (line.startsWith(EVENT_PREFIX)) {
                written = onEvent(line.substring(EVENT_PREFIX.length()).trim());
            }
        }
        return written;
    }

    @Override
    public void onEnd() {
        if (ended) {
            return;
        }
        if (isEventStream() && !closingEventReceived) {
            onFailure(new BackendFailure(BackendFailure.Kind.BROKEN, "the stream ended without its closing event"));
            return;
        }
        ended = true;
        slot.release();
        BackendResponseHead received = head.orElseThrow();
        if (received.leaving()) {
            listener.onLeaving(slot.server());
        } else if (isEventStream()) {
            listener.onComplete(new Completed(
                    received.status(), received.contentType(), "", List.copyOf(bufferedEvents), text(), usage));
        } else {
            listener.onComplete(completedBody(received));
        }
    }

    @Override
    public void onFailure(BackendFailure failure) {
        if (!ended) {
            ended = true;
            slot.recordLoss(loop.nowMillis());
            slot.release();
            listener.onFailure(slot.server(), failure);
        }
    }

    private boolean isEventStream() {
        return request.stream()
                && head.map(received -> received.status() == STATUS_OK).orElse(false);
    }

    private CompletableFuture<Void> onEvent(String data) {
        if (data.equals(CLOSING_EVENT)) {
            closingEventReceived = true;
            return CompletableFuture.completedFuture(null);
        }
        JsonNode event = ChatRequest.parseJson(data);
        Optional<TokenUsage> reported = TokenUsage.of(event);
        if (reported.isPresent()) {
            usage = reported;
        }
        String content =
                event.path("choices").path(0).path("delta").path("content").asText("");
        if (!content.isEmpty()) {
            outputEvents++;
            text.append(content);
        }
        boolean usageOnly = event.path("choices").isEmpty() && reported.isPresent();
        if (usageOnly && !request.includeUsage()) {
            return CompletableFuture.completedFuture(null);
        }
        if (buffered) {
            bufferedEvents.add(data);
            return CompletableFuture.completedFuture(null);
        }
        return event instanceof ObjectNode object
                ? listener.onEvent(data, object)
                : CompletableFuture.completedFuture(null);
    }

    private Completed completedBody(BackendResponseHead received) {
        String answer = body.toString(StandardCharsets.UTF_8);
        JsonNode document = ChatRequest.parseJson(answer);
        String content =
                document.path("choices").path(0).path("message").path("content").asText("");
        return new Completed(
                received.status(), received.contentType(), answer, List.of(), content, TokenUsage.of(document));
    }

    /**
     * A complete answer.
     *
     * @param body the body as received; empty for a stream
     * @param bufferedEvents the buffered events of a stream; empty if they were forwarded
     * @param text the generated text
     */
    record Completed(
            int status,
            String contentType,
            String body,
            List<String> bufferedEvents,
            String text,
            Optional<TokenUsage> usage) {
        boolean isSuccess() {
            return status == STATUS_OK;
        }
    }

    /** Receives the events and the result of an attempt. */
    interface Listener {
        /** Called for each event of a stream; the future completes when the next event may be sent. */
        CompletableFuture<Void> onEvent(String data, ObjectNode event);

        /** Called when the answer is complete. */
        void onComplete(Completed completed);

        /** Called if the backend server refused the request without running it, because it is leaving. */
        void onLeaving(BackendServer server);

        /** Called if the exchange failed. */
        void onFailure(BackendServer server, BackendFailure failure);
    }
}
