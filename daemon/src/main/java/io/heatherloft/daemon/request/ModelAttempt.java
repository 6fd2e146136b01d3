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
 * <p>Invariants: exactly one of the listener's end methods is called, once, unless the attempt is cancelled; a stream
 * counts as complete only if its closing event has come. Confined to the loop's thread.
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

    /** Creates an attempt whose events are kept until its end, or passed on as they come. */
    ModelAttempt(Loop loop, ChatRequest request, Slot slot, boolean kept, Listener listener) {
        this.loop = loop;
        this.request = request;
        this.slot = slot;
        this.buffered = kept;
        this.listener = listener;
        this.sentAtMillis = loop.nowMillis();
    }

    void send(BackendClient client, String version, String answerSoFar) {
        BackendRequest backendRequest = new BackendRequest(
                slot.server().address(),
                "POST",
                "/v1/chat/completions",
                List.of(new BackendRequest.Header("Content-Type", JSON)),
                request.bodyFor(version, answerSoFar),
                true);
        exchange = client.send(backendRequest, this);
    }

    /** Stops the exchange; the listener is not called again. */
    void cancel() {
        ended = true;
        exchange.cancel();
        slot.release();
    }

    /** Returns the number of parts of the answer received, one token each. */
    long outputEvents() {
        return outputEvents;
    }

    long sentAtMillis() {
        return sentAtMillis;
    }

    boolean isBuffered() {
        return buffered;
    }

    /** Returns the text received. */
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
            listener.onComplete(
                    new Completed(received.status(), received.contentType(), "", List.copyOf(bufferedEvents), text(), usage));
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
        Optional<TokenUsage> told = TokenUsage.of(event);
        if (told.isPresent()) {
            usage = told;
        }
        String content =
                event.path("choices").path(0).path("delta").path("content").asText("");
        if (!content.isEmpty()) {
            outputEvents++;
            text.append(content);
        }
        boolean usageOnly = event.path("choices").isEmpty() && told.isPresent();
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
     * A whole answer.
     *
     * @param body the body as received; empty for a stream, whose events were passed on
     * @param bufferedEvents the kept events of a stream
     * @param text the generated text
     */
    record Completed(
            int status, String contentType, String body, List<String> bufferedEvents, String text, Optional<TokenUsage> usage) {
        boolean isSuccess() {
            return status == STATUS_OK;
        }
    }

    /** Receives what comes of an attempt. */
    interface Listener {
        /** An event of a stream has come. */
        CompletableFuture<Void> onEvent(String data, ObjectNode event);

        /** The answer is complete. */
        void onComplete(Completed completed);

        /** The backend server refused, because it is leaving; it did not run the request. */
        void onLeaving(BackendServer server);

        /** The exchange failed. */
        void onFailure(BackendServer server, BackendFailure failure);
    }
}
