package io.heatherloft.daemon.fakes;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.heatherloft.ports.http.JsonHttpClient;
import io.heatherloft.standins.GeneratedText;
import java.util.stream.Collectors;

/** What a caller should have received, computed without the router. */
public final class Answers {
    private static final String EVENT = "data: ";

    private Answers() {}

    public static String expectedText(String version, String prompt) {
        return String.join("", GeneratedText.tokens(version, prompt, 0.9));
    }

    public static String streamedText(FakeCaller caller) {
        return caller.body()
                .lines()
                .filter(line -> line.startsWith(EVENT) && !line.endsWith("[DONE]"))
                .map(line -> content(line.substring(EVENT.length()), "delta"))
                .collect(Collectors.joining());
    }

    public static String wholeText(FakeCaller caller) {
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
