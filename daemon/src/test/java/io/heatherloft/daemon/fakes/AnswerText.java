package io.heatherloft.daemon.fakes;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.heatherloft.ports.http.JsonHttpClient;
import io.heatherloft.standins.GeneratedText;
import java.util.stream.Collectors;

/** Extracts the text of an answer that a caller received, and computes the expected text without the router. */
public final class AnswerText {
    private static final String DATA_PREFIX = "data: ";

    private AnswerText() {}

    public static String expectedText(String version, String prompt) {
        return String.join("", GeneratedText.tokens(version, prompt, 0.9));
    }

    public static String streamedText(FakeCaller caller) {
        return caller.body()
                .lines()
                .filter(line -> line.startsWith(DATA_PREFIX) && !line.endsWith("[DONE]"))
                .map(line -> content(line.substring(DATA_PREFIX.length()), "delta"))
                .collect(Collectors.joining());
    }

    public static String unstreamedText(FakeCaller caller) {
        return content(caller.body(), "message");
    }

    private static String content(String json, String part) {
        try {
            return JsonHttpClient.MAPPER
                    .readTree(json)
                    .path("choices")
                    .path(0)
                    .path(part)
                    .path("content")
                    .asText("");
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException(exception);
        }
    }
}
