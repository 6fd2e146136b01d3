package io.heatherloft.daemon.request;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * Tokens that an engine says it used. Immutable and safe for use by several threads.
 */
public record TokenUsage(long inputTokens, long outputTokens) {
    /** Reads the usage of an answer or of an event, if it has one. */
    public static Optional<TokenUsage> of(JsonNode document) {
        JsonNode usage = document.path("usage");
        return usage.isObject()
                ? Optional.of(new TokenUsage(
                        usage.path("prompt_tokens").asLong(),
                        usage.path("completion_tokens").asLong()))
                : Optional.empty();
    }
}
