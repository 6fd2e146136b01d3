package io.heatherloft.daemon.request;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.StableHash;
import io.heatherloft.ports.http.JsonHttpClient;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

/**
 * A chat completion as a caller asks for it.
 *
 * <p>Invariant: {@code document} is never changed after parsing. Safe for use by several threads.
 *
 * @param model name of a model or a request class
 * @param stream true if the answer is wanted as server-sent events
 * @param includeUsage true if the caller asked for usage in the stream
 */
public record ChatRequest(ObjectNode document, String model, boolean stream, boolean includeUsage) {
    private static final int PREFIX_CHARACTERS = 512;
    private static final int CHARACTERS_PER_TOKEN = 4;

    /** Parses a body; empty if it is not a chat completion request. */
    public static Optional<ChatRequest> parse(Bytes body) {
        try {
            JsonNode document = JsonHttpClient.MAPPER.readTree(body.toArray());
            boolean wellFormed = document instanceof ObjectNode
                    && document.path("model").isTextual()
                    && document.path("messages").isArray()
                    && !document.path("messages").isEmpty();
            if (!wellFormed) {
                return Optional.empty();
            }
            return Optional.of(new ChatRequest(
                    (ObjectNode) document,
                    document.path("model").asText(),
                    document.path("stream").asBoolean(),
                    document.path("stream_options").path("include_usage").asBoolean()));
        } catch (java.io.IOException _exception) {
            return Optional.empty();
        }
    }

    /** Returns the text of all messages. */
    public String prompt() {
        return StreamSupport.stream(document.path("messages").spliterator(), false)
                .map(message ->
                        message.path("content").asText(message.path("content").toString()))
                .collect(Collectors.joining("\n"));
    }

    /** Returns a hash of the start of the prompt, for choosing backend servers that may have it cached. */
    public long prefixHash() {
        String prompt = prompt();
        return StableHash.of(prompt.substring(0, Math.min(PREFIX_CHARACTERS, prompt.length())));
    }

    /** Returns a name for the request by its content, equal for each resend. */
    public String fingerprint(String workspace) {
        return Long.toHexString(StableHash.of(workspace, document.path("model") + "\n" + document.path("messages")));
    }

    /** Returns a digest of the whole body, so that an id used for two bodies names two requests. */
    public long bodyDigest() {
        return StableHash.of(document.toString());
    }

    /** Returns an estimate of the prompt's tokens, for a stream that ended before its usage was told. */
    public long estimatedInputTokens() {
        return ((long) prompt().length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
    }

    /**
     * Returns the body for a backend server.
     *
     * @param answerSoFar text received before a stream broke, which the engine is asked to continue; may be empty
     */
    public Bytes bodyFor(String version, String answerSoFar) {
        ObjectNode body = document.deepCopy();
        body.put("model", version);
        if (stream) {
            body.putObject("stream_options").put("include_usage", true);
        }
        if (!answerSoFar.isEmpty()) {
            ArrayNode messages = (ArrayNode) body.path("messages");
            messages.addObject().put("role", "assistant").put("content", answerSoFar);
            body.put("continue_final_message", true);
            body.put("add_generation_prompt", false);
        }
        return Bytes.ofText(body.toString());
    }

    /** Reads a JSON text, or a missing node if it is none. */
    static JsonNode parseJson(String json) {
        try {
            return JsonHttpClient.MAPPER.readTree(json);
        } catch (JsonProcessingException _exception) {
            return com.fasterxml.jackson.databind.node.MissingNode.getInstance();
        }
    }
}
