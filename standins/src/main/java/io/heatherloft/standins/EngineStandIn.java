package io.heatherloft.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.queue.ChannelBuffer;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.heatherloft.ports.http.JsonHttpClient;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A model engine: chat completions with streaming, continuation and usage, orders with fencing numbers.
 *
 * <p>A prompt that contains {@link #CRASH_PROMPT} ends the engine as a crash would: it stops listening and breaks every
 * connection, and listens again after a while. Confined to the event loop's thread.
 */
public final class EngineStandIn implements AsyncServlet {
    /** A prompt with this text crashes the engine. */
    public static final String CRASH_PROMPT = "crash-the-engine";

    private static final int STATUS_UNAVAILABLE = 503;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int BUFFERED_EVENTS = 4_096;

    private final Eventloop eventloop;
    private final Settings settings;
    private final Set<String> versions = new LinkedHashSet<>();
    private final Map<String, Double> qualities = new HashMap<>();
    private final List<ChannelBuffer<ByteBuf>> openStreams = new ArrayList<>();
    private StandInServer server;
    private long highestFencingNumber;
    private boolean draining;
    private int crashCount;
    private int startedCompletions;

    /** Creates an engine. */
    public EngineStandIn(Eventloop eventloop, Settings settings) {
        this.eventloop = eventloop;
        this.settings = settings;
    }

    /** Tells the engine which server to close when it crashes. */
    public void setServer(StandInServer attached) {
        server = attached;
    }

    /** Sets the mean quality of a version's answers, from 0 to 1. */
    public void setQuality(String version, double quality) {
        qualities.put(version, quality);
    }

    /** Loads a version without an order. */
    public void loadVersion(String version) {
        versions.add(version);
    }

    /** Refuses new work from now on. */
    public void startDraining() {
        draining = true;
    }

    /** Returns the number of crashes so far. */
    public int crashCount() {
        return crashCount;
    }

    /** Returns the number of completions started. */
    public int startedCompletions() {
        return startedCompletions;
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        return switch (request.getPath()) {
            case "/v1/models" -> Promise.of(models());
            case "/v1/orders" -> StandInServer.readJson(request).map(this::applyOrder);
            case "/v1/chat/completions" -> StandInServer.readJson(request).then(this::complete);
            default -> Promise.of(HttpResponse.notFound404().build());
        };
    }

    /** Breaks all connections and stops listening, for {@link Settings#restartMillis()}. */
    public void crash() {
        crashCount++;
        server.close();
        List.copyOf(openStreams).forEach(stream -> stream.closeEx(new IOException("engine crashed")));
        openStreams.clear();
        eventloop.delayBackground(settings.restartMillis(), () -> {
            try {
                server.listen();
            } catch (IOException exception) {
                throw new IllegalStateException("the engine cannot listen again", exception);
            }
        });
    }

    private HttpResponse models() {
        ObjectNode document = JsonHttpClient.MAPPER.createObjectNode();
        ArrayNode data = document.putArray("data");
        versions.forEach(version -> data.addObject().put("id", version).put("object", "model"));
        return StandInServer.json(document);
    }

    private HttpResponse applyOrder(JsonNode order) {
        long fence = order.path("fencing_number").asLong();
        boolean accepted = !settings.checksFencing() || fence >= highestFencingNumber;
        if (accepted) {
            highestFencingNumber = Math.max(highestFencingNumber, fence);
            versions.clear();
            order.path("versions").forEach(version -> versions.add(version.asText()));
        }
        return StandInServer.json(JsonHttpClient.MAPPER.createObjectNode().put("accepted", accepted));
    }

    private Promise<HttpResponse> complete(JsonNode request) {
        String version = request.path("model").asText();
        if (draining) {
            return Promise.of(HttpResponse.ofCode(STATUS_UNAVAILABLE)
                    .withHeader(HttpHeaders.CONNECTION, "close")
                    .withPlainText("leaving")
                    .build());
        }
        if (!versions.contains(version)) {
            return Promise.of(HttpResponse.ofCode(STATUS_NOT_FOUND)
                    .withPlainText("version not loaded: " + version)
                    .build());
        }
        startedCompletions++;
        String prompt = GeneratedText.prompt(request);
        ChannelBuffer<ByteBuf> stream = new ChannelBuffer<>(1, BUFFERED_EVENTS);
        openStreams.add(stream);
        stream.setCloseable(_exception -> openStreams.remove(stream));
        if (prompt.contains(CRASH_PROMPT)) {
            eventloop.delayBackground(settings.tokenMillis() + 1, this::crash);
            return Promise.of(response(stream, "text/event-stream"));
        }
        List<String> tokens = GeneratedText.tokens(
                version,
                prompt,
                qualities.getOrDefault(version, settings.defaultQuality()),
                request.path("min_tokens").asInt());
        Generation generation = new Generation(request, version, prompt, tokens, stream);
        eventloop.delayBackground(settings.firstTokenMillis(), generation::start);
        return Promise.of(response(stream, generation.isStreaming() ? "text/event-stream" : "application/json"));
    }

    private HttpResponse response(ChannelBuffer<ByteBuf> stream, String contentType) {
        return HttpResponse.ok200()
                .withHeader(HttpHeaders.CONTENT_TYPE, contentType)
                .withHeader(
                        HttpHeaders.of("endpoint-load-metrics"),
                        "JSON {\"named_metrics\":{\"running\":" + openStreams.size() + ",\"waiting\":"
                                + Math.max(0, openStreams.size() - settings.batchLimit()) + "}}")
                .withBodyStream(stream.getSupplier())
                .build();
    }

    /**
     * Behaviour of an engine; times in milliseconds.
     */
    public record Settings(
            long firstTokenMillis,
            long tokenMillis,
            int batchLimit,
            boolean checksFencing,
            double defaultQuality,
            long restartMillis) {}

    private final class Generation {
        private final JsonNode request;
        private final String version;
        private final String prompt;
        private final List<String> tokens;
        private final ChannelBuffer<ByteBuf> stream;
        private final int continuedTokens;
        private int nextToken;

        Generation(
                JsonNode request, String version, String prompt, List<String> tokens, ChannelBuffer<ByteBuf> stream) {
            this.request = request;
            this.version = version;
            this.prompt = prompt;
            this.tokens = tokens;
            this.stream = stream;
            this.continuedTokens = GeneratedText.continuedTokenCount(request, tokens);
            this.nextToken = continuedTokens;
        }

        boolean isStreaming() {
            return request.path("stream").asBoolean();
        }

        void start() {
            if (isStreaming()) {
                sendEvent(chunk("", "assistant"));
                sendNextToken();
            } else {
                long wait = settings.tokenMillis() * (tokens.size() - continuedTokens);
                eventloop.delayBackground(wait, this::sendCompletion);
            }
        }

        private void sendNextToken() {
            if (!openStreams.contains(stream)) {
                return;
            }
            if (nextToken < tokens.size()) {
                sendEvent(chunk(tokens.get(nextToken), ""));
                nextToken++;
                eventloop.delayBackground(settings.tokenMillis(), this::sendNextToken);
                return;
            }
            ObjectNode usage = envelope("chat.completion.chunk");
            usage.putArray("choices");
            usage.set("usage", usage());
            sendEvent(usage);
            write("data: [DONE]\n\n");
            end();
        }

        private void sendCompletion() {
            if (!openStreams.contains(stream)) {
                return;
            }
            ObjectNode document = envelope("chat.completion");
            ObjectNode choice = document.putArray("choices").addObject();
            choice.put("index", 0).put("finish_reason", "stop");
            choice.putObject("message")
                    .put("role", "assistant")
                    .put("content", String.join("", tokens.subList(continuedTokens, tokens.size())));
            document.set("usage", usage());
            write(document.toString());
            end();
        }

        private ObjectNode chunk(String content, String role) {
            ObjectNode document = envelope("chat.completion.chunk");
            ObjectNode choice = document.putArray("choices").addObject();
            choice.put("index", 0);
            ObjectNode delta = choice.putObject("delta");
            if (!role.isEmpty()) {
                delta.put("role", role);
            }
            delta.put("content", content);
            return document;
        }

        private ObjectNode envelope(String object) {
            ObjectNode document = JsonHttpClient.MAPPER.createObjectNode();
            document.put("id", "chatcmpl-" + System.identityHashCode(this));
            document.put("object", object);
            document.put("model", version);
            return document;
        }

        private ObjectNode usage() {
            int promptTokens = prompt.split("\\s+").length + continuedTokens;
            return JsonHttpClient.MAPPER
                    .createObjectNode()
                    .put("prompt_tokens", promptTokens)
                    .put("completion_tokens", tokens.size() - continuedTokens);
        }

        private void sendEvent(ObjectNode document) {
            write("data: " + document + "\n\n");
        }

        private void write(String text) {
            stream.put(ByteBuf.wrapForReading(text.getBytes(StandardCharsets.UTF_8)));
        }

        private void end() {
            openStreams.remove(stream);
            stream.put(null);
        }
    }
}
