package io.heatherloft.standins;

import com.fasterxml.jackson.databind.JsonNode;
import io.heatherloft.domain.StableHash;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import java.util.stream.StreamSupport;

/**
 * The text that the engine stand-in generates: a fixed function of version and messages, so that a test knows the whole
 * answer in advance.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class GeneratedText {
    private static final int MIN_TOKENS = 8;
    private static final int TOKEN_COUNT_RANGE = 24;
    private static final double QUALITY_SPREAD = 0.2;

    private GeneratedText() {}

    /** Returns the tokens of the whole answer; the first tells its quality to the rating stand-in. */
    public static List<String> tokens(String version, String prompt, double meanQuality) {
        return tokens(version, prompt, meanQuality, 0);
    }

    /** Returns the tokens of an answer that has at least {@code minTokens}. */
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

    /** Returns the messages' text, without a closing message of the assistant that is to be continued. */
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

    /** Returns the number of tokens that a continued answer has already. */
    public static int continuedTokenCount(JsonNode request, List<String> tokens) {
        if (!request.path("continue_final_message").asBoolean()) {
            return 0;
        }
        JsonNode messages = request.path("messages");
        String partial = messages.path(messages.size() - 1).path("content").asText();
        StringBuilder built = new StringBuilder();
        int count = 0;
        while (count < tokens.size() && built.length() < partial.length()) {
            built.append(tokens.get(count));
            count++;
        }
        return count;
    }
}
