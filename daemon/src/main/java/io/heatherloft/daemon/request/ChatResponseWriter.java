package io.heatherloft.daemon.request;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.configuration.VersionReference;
import io.heatherloft.ports.loop.Futures;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

/**
 * The answer to a chat completion as its caller sees it, whatever attempts it is made of.
 *
 * <p>Invariants: a stream that broke and was resumed on another backend server reads as one; the closing event is
 * written only by {@link #finish}. Confined to the loop's thread.
 */
final class ChatResponseWriter {
    private static final String EVENT_STREAM = "text/event-stream";
    private static final String CLOSING_EVENT = "[DONE]";
    private static final int STATUS_OK = 200;

    private final RequestContext context;
    private final ChatRequest request;
    private final CallerChannel channel;
    private final StringBuilder resumedText = new StringBuilder();
    private long resumedTokens;
    private String streamId = "";
    private boolean started;

    ChatResponseWriter(RequestContext context, ChatRequest request, CallerChannel channel) {
        this.context = context;
        this.request = request;
        this.channel = channel;
    }

    /** Returns true if a part of a stream went to the caller. */
    boolean hasStarted() {
        return started;
    }

    /** Returns the text that an engine is asked to continue. */
    String partialText() {
        return resumedText.toString();
    }

    /** Returns the number of tokens received from attempts that broke. */
    long resumedTokens() {
        return resumedTokens;
    }

    /** Keeps what a broken attempt passed on, so that the next continues there. */
    void recordForResumption(ModelAttempt attempt) {
        if (request.stream() && !attempt.isBuffered()) {
            resumedText.append(attempt.text());
            resumedTokens += attempt.outputEvents();
        }
    }

    CompletableFuture<Void> forward(VersionReference version, String data, ObjectNode event) {
        start(version);
        if (resumedTokens == 0) {
            if (streamId.isEmpty()) {
                streamId = event.path("id").asText();
            }
            return write(data);
        }
        boolean announcesRoleOnly = event.path("choices").path(0).path("delta").has("role")
                && event.path("choices")
                        .path(0)
                        .path("delta")
                        .path("content")
                        .asText("")
                        .isEmpty();
        if (announcesRoleOnly) {
            return CompletableFuture.completedFuture(null);
        }
        event.put("id", streamId);
        return write(event.toString());
    }

    void finish(ChatRequestHandler.StepAnswer answer) {
        ModelAttempt.Completed completed = answer.completed();
        if (!request.stream() || !completed.isSuccess()) {
            ResponseWriter.send(
                    channel,
                    head(answer.version(), completed.status(), completed.contentType()),
                    Bytes.ofText(completed.body()));
            return;
        }
        start(answer.version());
        String events = completed.bufferedEvents().stream().map(ChatResponseWriter::event).collect(Collectors.joining());
        Futures.onResult(channel.write(Bytes.ofText(events + event(CLOSING_EVENT))), _written -> channel.finish());
    }

    void fail(Problem problem) {
        if (started) {
            channel.abort();
        } else {
            ResponseWriter.send(channel, context.headers(problem.runStatus()), problem);
        }
    }

    private void start(VersionReference version) {
        if (!started) {
            started = true;
            channel.start(head(version, STATUS_OK, EVENT_STREAM));
        }
    }

    private CompletableFuture<Void> write(String data) {
        return channel.write(Bytes.ofText(event(data)));
    }

    private static String event(String data) {
        return "data: " + data + "\n\n";
    }

    private CallerChannel.ResponseHead head(VersionReference version, int status, String contentType) {
        List<CallerChannel.HeaderField> headers = new ArrayList<>(context.headers(RunStatus.RAN));
        headers.add(new CallerChannel.HeaderField(RequestContext.VERSION_HEADER, version.toString()));
        return new CallerChannel.ResponseHead(status, contentType, List.copyOf(headers));
    }
}
