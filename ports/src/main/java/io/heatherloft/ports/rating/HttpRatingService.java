package io.heatherloft.ports.rating;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.IHttpClient;
import io.heatherloft.ports.http.JsonHttpClient;
import java.util.concurrent.CompletableFuture;

/**
 * Asks the rating service over HTTP. Keeps no state; confined to the loop's thread.
 */
public final class HttpRatingService implements RatingService {
    private final JsonHttpClient jsonClient;

    /** Creates a caller of the service at {@code baseUrl}, which has no slash at its end. */
    public HttpRatingService(IHttpClient client, String baseUrl) {
        this.jsonClient = new JsonHttpClient(client, baseUrl);
    }

    @Override
    public CompletableFuture<Double> rate(RatingRequest question) {
        ObjectNode body = JsonHttpClient.MAPPER.createObjectNode();
        body.put("prompt", question.prompt());
        body.put("answer", question.answer());
        return jsonClient.post("/v1/ratings", body).thenApply(answer -> answer.path("score")
                .asDouble());
    }
}
