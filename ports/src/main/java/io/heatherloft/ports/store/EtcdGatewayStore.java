package io.heatherloft.ports.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.StoreRevision;
import io.heatherloft.ports.http.HttpClients;
import io.heatherloft.ports.http.JsonHttpClient;
import io.heatherloft.ports.loop.Futures;
import io.heatherloft.ports.loop.Loop;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * A {@link KeyValueStore} that uses the JSON gateway of the etcd v3 API (etcd documentation, "gRPC gateway").
 *
 * <p>Invariant: a write is reported as {@link WriteOutcome.Unavailable} only if the service cannot have applied it.
 * Confined to the event loop thread.
 */
public final class EtcdGatewayStore implements KeyValueStore {
    private static final long CALL_TIMEOUT_MILLIS = 1_000L;
    private static final long MILLIS_PER_SECOND = 1_000L;

    private final HttpClient client;
    private final Loop loop;
    private final String baseUrl;
    private final JsonHttpClient jsonClient;

    /** Creates a client of the service at {@code baseUrl}, which must not end with a slash. */
    public EtcdGatewayStore(HttpClient client, Loop loop, String baseUrl) {
        this.client = client;
        this.loop = loop;
        this.baseUrl = baseUrl;
        this.jsonClient = new JsonHttpClient(client, baseUrl);
    }

    @Override
    public CompletableFuture<Optional<StoreValue>> get(String key) {
        ObjectNode body = JsonHttpClient.MAPPER.createObjectNode();
        body.put("key", encode(key));
        return call("/v3/kv/range", body)
                .thenApply(response -> parseValues(response).stream().findFirst());
    }

    @Override
    public CompletableFuture<Listing> list(String prefix) {
        ObjectNode body = JsonHttpClient.MAPPER.createObjectNode();
        body.put("key", encode(prefix));
        body.put("range_end", encode(prefixEnd(prefix)));
        return call("/v3/kv/range", body)
                .thenApply(response ->
                        new Listing(parseValues(response), StoreRevision.ofFirstEra(headerRevision(response))));
    }

    @Override
    public CompletableFuture<WriteOutcome> putIfRevision(
            String key, Bytes value, StoreRevision expectedRevision, OptionalLong leaseId) {
        ObjectNode put = JsonHttpClient.MAPPER.createObjectNode();
        put.put("key", encode(key));
        put.put("value", Base64.getEncoder().encodeToString(value.toArray()));
        leaseId.ifPresent(lease -> put.put("lease", Long.toString(lease)));
        return executeTransaction(key, expectedRevision, "request_put", put);
    }

    @Override
    public CompletableFuture<WriteOutcome> deleteIfRevision(String key, StoreRevision expectedRevision) {
        ObjectNode delete = JsonHttpClient.MAPPER.createObjectNode();
        delete.put("key", encode(key));
        return executeTransaction(key, expectedRevision, "request_delete_range", delete);
    }

    @Override
    public CompletableFuture<Long> grantLease(long ttlMillis) {
        ObjectNode body = JsonHttpClient.MAPPER.createObjectNode();
        body.put("TTL", Long.toString((ttlMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND));
        return call("/v3/lease/grant", body)
                .thenApply(response -> response.path("ID").asLong());
    }

    @Override
    public CompletableFuture<Boolean> keepLeaseAlive(long leaseId) {
        ObjectNode body = JsonHttpClient.MAPPER.createObjectNode();
        body.put("ID", Long.toString(leaseId));
        return call("/v3/lease/keepalive", body)
                .thenApply(response -> response.path("result").path("TTL").asLong() > 0);
    }

    @Override
    public CompletableFuture<Void> revokeLease(long leaseId) {
        ObjectNode body = JsonHttpClient.MAPPER.createObjectNode();
        body.put("ID", Long.toString(leaseId));
        return call("/v3/lease/revoke", body).thenApply(_response -> null);
    }

    @Override
    public Watch watch(String prefix, StoreRevision after, WatchListener listener) {
        ObjectNode create = JsonHttpClient.MAPPER.createObjectNode();
        create.put("key", encode(prefix));
        create.put("range_end", encode(prefixEnd(prefix)));
        create.put("start_revision", Long.toString(after.number() + 1));
        ObjectNode body = JsonHttpClient.MAPPER.createObjectNode();
        body.set("create_request", create);
        HttpRequest request = HttpRequest.post(baseUrl + "/v3/watch")
                .withBody(body.toString())
                .build();
        EtcdWatch watch = new EtcdWatch(listener);
        watch.start(client.request(request));
        return watch;
    }

    static StoreValue parseValue(JsonNode entry) {
        Bytes value =
                Bytes.copyOf(Base64.getDecoder().decode(entry.path("value").asText("")));
        return new StoreValue(
                decode(entry.path("key").asText()),
                value,
                StoreRevision.ofFirstEra(entry.path("mod_revision").asLong()));
    }

    private CompletableFuture<JsonNode> call(String path, ObjectNode body) {
        CompletableFuture<JsonNode> result = new CompletableFuture<>();
        Futures.onComplete(
                Futures.withTimeout(jsonClient.post(path, body), loop, CALL_TIMEOUT_MILLIS), (response, failure) -> {
                    if (failure == null) {
                        result.complete(response);
                    } else {
                        result.completeExceptionally(
                                new StoreUnavailableException(String.valueOf(failure.getMessage())));
                    }
                });
        return result;
    }

    private CompletableFuture<WriteOutcome> executeTransaction(
            String key, StoreRevision expectedRevision, String operation, ObjectNode operand) {
        ObjectNode compare = JsonHttpClient.MAPPER.createObjectNode();
        compare.put("key", encode(key));
        compare.put("target", "MOD");
        compare.put("result", "EQUAL");
        compare.put("mod_revision", Long.toString(expectedRevision.number()));
        ObjectNode body = JsonHttpClient.MAPPER.createObjectNode();
        ArrayNode compares = body.putArray("compare");
        compares.add(compare);
        ArrayNode operations = body.putArray("success");
        operations.addObject().set(operation, operand);
        HttpRequest request = HttpRequest.post(baseUrl + "/v3/kv/txn")
                .withBody(body.toString())
                .build();
        return Futures.withTimeout(jsonClient.send(request), loop, CALL_TIMEOUT_MILLIS)
                .handle((response, failure) -> outcomeOf(request, response, failure));
    }

    private static WriteOutcome outcomeOf(HttpRequest request, JsonNode response, Throwable failure) {
        if (failure == null) {
            return response.path("succeeded").asBoolean()
                    ? new WriteOutcome.Applied(StoreRevision.ofFirstEra(headerRevision(response)))
                    : new WriteOutcome.Conflict();
        }
        Throwable cause = Futures.unwrap(failure);
        boolean refused = cause instanceof JsonHttpClient.UnexpectedStatusException status && status.isRefusal();
        String reason = String.valueOf(cause.getMessage());
        return refused || HttpClients.failedToConnect(request)
                ? new WriteOutcome.Unavailable(reason)
                : new WriteOutcome.Unknown(reason);
    }

    private static List<StoreValue> parseValues(JsonNode response) {
        List<StoreValue> values = new ArrayList<>();
        response.path("kvs").forEach(entry -> values.add(parseValue(entry)));
        return values;
    }

    private static long headerRevision(JsonNode response) {
        return response.path("header").path("revision").asLong();
    }

    private static String prefixEnd(String prefix) {
        char last = prefix.charAt(prefix.length() - 1);
        return prefix.substring(0, prefix.length() - 1) + (char) (last + 1);
    }

    private static String encode(String text) {
        return Base64.getEncoder().encodeToString(Bytes.ofText(text).toArray());
    }

    private static String decode(String text) {
        return Bytes.copyOf(Base64.getDecoder().decode(text)).toText();
    }
}
