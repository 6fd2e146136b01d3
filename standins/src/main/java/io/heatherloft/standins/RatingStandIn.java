package io.heatherloft.standins;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.heatherloft.ports.http.JsonHttpClient;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The answer-rating service: reads the quality that the engine stand-in wrote into its answer.
 *
 * <p>Confined to the event loop's thread.
 */
public final class RatingStandIn implements AsyncServlet {
    private static final Pattern QUALITY_PATTERN = Pattern.compile("quality=([01]\\.\\d+)");

    private int ratingCount;

    /** Returns the number of ratings given. */
    public int ratingCount() {
        return ratingCount;
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        return StandInServer.readJson(request).map(body -> {
            ratingCount++;
            Matcher matcher = QUALITY_PATTERN.matcher(body.path("answer").asText());
            double score = matcher.find() ? Double.parseDouble(matcher.group(1)) : 0.0;
            return StandInServer.json(JsonHttpClient.MAPPER.createObjectNode().put("score", score));
        });
    }
}
