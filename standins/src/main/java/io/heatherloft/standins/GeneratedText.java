package io.heatherloft.standins;

import com.fasterxml.jackson.databind.JsonNode;
import io.heatherloft.domain.StableHash;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import java.util.stream.StreamSupport;

/**
 * Generates the answers of the engine stand-in. The text is a deterministic function of version and prompt, so that a
 * test can compute the expected answer in advance.
 *
 * <p>Stateless and thread-safe.
 */
public final class GeneratedText {
    private static final int MIN_TOKENS = 8;
    private static final int TOKEN_COUNT_RANGE = 24;
    private static final double QUALITY_SPREAD = 0.2;

    private GeneratedText() {}

    /** Returns the tokens of the complete answer; the first encodes its quality for {@link RatingStandIn}. */
    public static List<String> tokens(String version, String prompt, double meanQuality) {
        return tokens(version, prompt, meanQuality, 0);
    }

    /** Returns the tokens of the complete answer, at least {@code minTokens} of them. */
    public static List<String> tokens(String version, String prompt, double meanQuality, int minTokens) {
        long hash = StableHash.of(version, prompt);
        int count = Math.max(minTokens, MIN_TOKENS + (int) Long.remainderUnsigned(hash, TOKEN_COUNT_RANGE));
        double quality =
                Math.max(0, Math.min(1, meanQuality + QUALITY_SPREAD * (StableHash.toUnitInterval(hash) - 1.0 / 2)));
        String first = String.format(Locale.ROOT, "quality=%.3f", quality);
        return IntStream.range(0, count)
                .mapToObj(index -> index == 0 ? first : " " + Long.toHexString(StableHash.mix(hash, index)))
                .toList();
    }

    /** Returns the text of the messages, without the final assistant message if the request continues it. */
    public static String prompt(JsonNode request) {
        JsonNode messages = request.path("messages");
        int count = messages.size() - (request.path("continue_final_message").asBoolean() ? 1 : 0);
        return String.join(
                "\n",
                StreamSupport.stream(messages.spliterator(), false)
                        .limit(count)
                        .map(message -> message.path("content").asText())
                        .toList());
    }

    /** Returns the number of tokens in the partial answer that the request continues, or 0 if it continues none. */
    public static int continuedTokenCount(JsonNode request, List<String> tokens) {
        if (!request.path("continue_final_message").asBoolean()) {
            return 0;
        }
        JsonNode messages = request.path("messages");
        String partial = messages.path(messages.size() - 1).path("content").asText();
        StringBuilder prefix = new StringBuilder();
        int count = 0;
        while (count < tokens.size() && prefix.length() < partial.length()) {
            prefix.append(tokens.get(count));
            count++;
        }
        return count;
    }
}
