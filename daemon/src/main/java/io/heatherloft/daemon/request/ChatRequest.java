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
 * A caller's request for a chat completion.
 *
 * <p>Invariant: {@code document} is never modified after parsing. Thread-safe.
 *
 * @param model name of a model or a request class
 * @param stream true if the caller requested server-sent events
 * @param includeUsage true if the caller requested the token usage in the stream
 */
public record ChatRequest(ObjectNode document, String model, boolean stream, boolean includeUsage) {
    private static final int PREFIX_CHARACTERS = 512;
    private static final int CHARACTERS_PER_TOKEN = 4;

    /** Parses a request body; returns empty if it is not a chat completion request. */
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

    /** Returns the text of all messages, joined by line feeds. */
    public String prompt() {
        return StreamSupport.stream(document.path("messages").spliterator(), false)
                .map(message ->
                        message.path("content").asText(message.path("content").toString()))
                .collect(Collectors.joining("\n"));
    }

    /** Returns a hash of the prompt prefix, for routing to backend servers that may have it cached. */
    public long prefixHash() {
        String prompt = prompt();
        return StableHash.of(prompt.substring(0, Math.min(PREFIX_CHARACTERS, prompt.length())));
    }

    /** Returns an identifier derived from the workspace and the content, equal for each resend of the request. */
    public String fingerprint(String workspace) {
        return Long.toHexString(StableHash.of(workspace, document.path("model") + "\n" + document.path("messages")));
    }

    /** Returns a digest of the whole body, so that two bodies sent with the same id count as two requests. */
    public long bodyDigest() {
        return StableHash.of(document.toString());
    }

    /** Returns an estimated token count of the prompt, for streams that end before the engine reports its usage. */
    public long estimatedInputTokens() {
        return ((long) prompt().length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
    }

    /**
     * Returns the request body for a backend server.
     *
     * @param partialText text received before a stream was interrupted, which the engine is asked to continue; may be
     *     empty
     */
    public Bytes bodyFor(String version, String partialText) {
        ObjectNode body = document.deepCopy();
        body.put("model", version);
        if (stream) {
            body.putObject("stream_options").put("include_usage", true);
        }
        if (!partialText.isEmpty()) {
            ArrayNode messages = (ArrayNode) body.path("messages");
            messages.addObject().put("role", "assistant").put("content", partialText);
            body.put("continue_final_message", true);
            body.put("add_generation_prompt", false);
        }
        return Bytes.ofText(body.toString());
    }

    /** Parses JSON; returns a missing node if the text is invalid. */
    static JsonNode parseJson(String json) {
        try {
            return JsonHttpClient.MAPPER.readTree(json);
        } catch (JsonProcessingException _exception) {
            return com.fasterxml.jackson.databind.node.MissingNode.getInstance();
        }
    }
}
