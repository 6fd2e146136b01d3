package io.heatherloft.router.request;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a caller's header says of its request.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param attemptId identity that the caller gave to this try of its request
 * @param deadlineMillis time for which the caller waits
 * @param apiKey key that names the caller's workspace
 * @param session requests of one session prefer one version
 * @param lastEventId last event of the stream that the caller has, if it resumes one
 * @param promptTokens tokens of the prompt; 0 if not stated
 * @param expectedOutputTokens tokens that the answer is expected to have; 0 if not stated
 * @param promptSegments parts of the prompt in order; the last one is the request's own
 */
public record RequestMetadata(
        Optional<String> attemptId,
        OptionalLong deadlineMillis,
        Optional<String> apiKey,
        Optional<String> session,
        OptionalLong lastEventId,
        int promptTokens,
        int expectedOutputTokens,
        List<PromptSegment> promptSegments) {

    /** Creates facts. */
    public RequestMetadata {
        promptSegments = List.copyOf(promptSegments);
    }

    /** A part of a prompt that other requests may share. */
    public record PromptSegment(String id, int tokens) {}

    /** Returns the tokens of the prompt that other requests may share. */
    public int sharedPrefixTokens() {
        return promptSegments.stream()
                .limit(Math.max(0, promptSegments.size() - 1))
                .mapToInt(PromptSegment::tokens)
                .sum();
    }

    /** Returns the identity of the longest part of the prompt that other requests may share; empty if none is. */
    public Optional<String> sharedPrefixId() {
        return promptSegments.size() < 2
                ? Optional.empty()
                : Optional.of(promptSegments.get(promptSegments.size() - 2).id());
    }
}
