package io.heatherloft.ports.rating;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.IHttpClient;
import io.heatherloft.ports.http.JsonHttpClient;
import java.util.concurrent.CompletableFuture;

/**
 * A {@link RatingService} over HTTP. Stateless; confined to the event loop thread.
 */
public final class HttpRatingService implements RatingService {
    private final JsonHttpClient jsonClient;

    /** Creates a client of the service at {@code baseUrl}, which must not end with a slash. */
    public HttpRatingService(IHttpClient client, String baseUrl) {
        this.jsonClient = new JsonHttpClient(client, baseUrl);
    }

    @Override
    public CompletableFuture<Double> rate(RatingRequest request) {
        ObjectNode body = JsonHttpClient.MAPPER.createObjectNode();
        body.put("prompt", request.prompt());
        body.put("answer", request.answer());
        return jsonClient.post("/v1/ratings", body).thenApply(response -> response.path("score")
                .asDouble());
    }
}
