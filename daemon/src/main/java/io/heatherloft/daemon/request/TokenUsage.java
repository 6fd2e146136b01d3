package io.heatherloft.daemon.request;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * Token usage as reported by an engine. Immutable and thread-safe.
 */
public record TokenUsage(long inputTokens, long outputTokens) {
    /** Returns the usage contained in an answer or an event, if present. */
    public static Optional<TokenUsage> of(JsonNode document) {
        JsonNode usage = document.path("usage");
        return usage.isObject()
                ? Optional.of(new TokenUsage(
                        usage.path("prompt_tokens").asLong(),
                        usage.path("completion_tokens").asLong()))
                : Optional.empty();
    }
}
