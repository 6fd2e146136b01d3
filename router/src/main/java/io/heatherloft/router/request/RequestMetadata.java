package io.heatherloft.router.request;

import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.route.CrashingPromptDetector;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Metadata of a caller's request, read from its headers.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param attemptId ID that the caller assigned to this attempt of its request
 * @param deadlineMillis time for which the caller waits for the response, from the arrival of the request
 * @param apiKey API key that identifies the caller's workspace
 * @param session session of the request; requests of a session prefer the same version
 * @param lastEventId ID of the last event that the caller has received, if it resumes a stream
 * @param promptTokens number of prompt tokens; 0 if not stated
 * @param expectedOutputTokens expected number of output tokens; 0 if not stated
 * @param maxOutputTokens maximum number of output tokens; 0 if not stated
 * @param promptSegments segments of the prompt in order; all but the last can be shared with other requests
 */
public record RequestMetadata(
        Optional<String> attemptId,
        OptionalLong deadlineMillis,
        Optional<String> apiKey,
        Optional<String> session,
        OptionalLong lastEventId,
        int promptTokens,
        int expectedOutputTokens,
        int maxOutputTokens,
        List<PromptSegment> promptSegments) {

    private static final Pattern HEXADECIMAL_ID = Pattern.compile("[0-9a-fA-F]{1,16}");
    private static final int HEXADECIMAL = 16;

    /** Copies the list of segments. */
    public RequestMetadata {
        promptSegments = List.copyOf(promptSegments);
    }

    /** A segment of a prompt that other requests can share. */
    public record PromptSegment(String id, int tokens) {
        // The hash of a hexadecimal ID is its value, so that log lines show the ID.
        private long hash() {
            return HEXADECIMAL_ID.matcher(id).matches() ? Long.parseUnsignedLong(id, HEXADECIMAL) : StableHash.of(id);
        }
    }

    /**
     * Returns the number of tokens that a server holds for the request: those of the prompt, and twice the expected output
     * tokens or the maximum if that is smaller.
     */
    public long heldTokens() {
        long maximum = maxOutputTokens > 0 ? maxOutputTokens : Long.MAX_VALUE;
        long output = expectedOutputTokens > 0 ? 2L * expectedOutputTokens : Math.max(0, maxOutputTokens);
        return Math.max(0, promptTokens) + Math.min(output, maximum);
    }

    /** Returns the IDs of the prompt's segments in order, separated by commas. */
    String promptPartIds() {
        return promptSegments.stream().map(PromptSegment::id).collect(Collectors.joining(","));
    }

    /** Returns the prompt as hashes of its segments. */
    CrashingPromptDetector.Prompt prompt() {
        int shared = Math.max(0, promptSegments.size() - 1);
        return new CrashingPromptDetector.Prompt(
                promptSegments.stream().limit(shared).map(PromptSegment::hash).toList(),
                promptSegments.stream()
                        .skip(shared)
                        .mapToLong(PromptSegment::hash)
                        .findFirst()
                        .orElse(0));
    }

    /** Returns the number of tokens in the prompt prefix that can be shared with other requests. */
    public int sharedPrefixTokens() {
        return promptSegments.stream()
                .limit(Math.max(0, promptSegments.size() - 1))
                .mapToInt(PromptSegment::tokens)
                .sum();
    }

    /** Returns the ID of the longest prompt prefix that can be shared with other requests; empty if there is none. */
    public Optional<String> sharedPrefixId() {
        return promptSegments.size() < 2
                ? Optional.empty()
                : Optional.of(promptSegments.get(promptSegments.size() - 2).id());
    }
}
