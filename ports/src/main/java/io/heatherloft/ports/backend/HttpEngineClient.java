package io.heatherloft.ports.backend;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.IHttpClient;
import io.heatherloft.ports.http.JsonHttpClient;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Gives orders to engines over HTTP. Keeps no state; confined to the loop's thread.
 */
public final class HttpEngineClient implements EngineClient {
    private final IHttpClient client;

    /** Creates a giver of orders. */
    public HttpEngineClient(IHttpClient client) {
        this.client = client;
    }

    @Override
    public CompletableFuture<OrderOutcome> sendOrder(String address, EngineOrder order) {
        ObjectNode body = JsonHttpClient.MAPPER.createObjectNode();
        body.put("fencing_number", order.fencingNumber());
        ArrayNode versions = body.putArray("versions");
        order.versions().forEach(versions::add);
        return clientFor(address)
                .post("/v1/orders", body)
                .thenApply(answer -> answer.path("accepted").asBoolean() ? OrderOutcome.ACCEPTED : OrderOutcome.STALE);
    }

    @Override
    public CompletableFuture<List<String>> loadedVersions(String address) {
        return clientFor(address).get("/v1/models").thenApply(answer -> {
            List<String> versions = new ArrayList<>();
            answer.path("data").forEach(model -> versions.add(model.path("id").asText()));
            return List.copyOf(versions);
        });
    }

    private JsonHttpClient clientFor(String address) {
        return new JsonHttpClient(client, "http://" + address);
    }
}
