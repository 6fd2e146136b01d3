package io.heatherloft.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.queue.ChannelBuffer;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.heatherloft.domain.Bytes;
import io.heatherloft.ports.http.JsonHttpClient;
import io.heatherloft.ports.store.StoreValue;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;

/**
 * Stand-in for the key-value service. Implements the subset of the etcd v3 JSON gateway that heatherloft uses, on top of
 * an {@link InMemoryKeyValueStore}.
 *
 * <p>Confined to the event loop's thread.
 */
public final class KeyValueStandIn implements AsyncServlet {
    private static final int BUFFERED_EVENTS = 1_024;
    private static final long MILLIS_PER_SECOND = 1_000L;

    private final InMemoryKeyValueStore store;
    private final LongSupplier clock;
    private final LongAdder callCount = new LongAdder();

    /**
     * Creates a service backed by a store.
     *
     * @param clock current time in milliseconds, for the expiry of leases
     */
    public KeyValueStandIn(InMemoryKeyValueStore store, LongSupplier clock) {
        this.store = store;
        this.clock = clock;
    }

    /** Returns the number of calls received; a watch counts as one. */
    public long callCount() {
        return callCount.sum();
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        callCount.increment();
        String path = request.getPath();
        return StandInServer.readJson(request).map(body -> {
            store.expireLeases(clock.getAsLong());
            return switch (path) {
                case "/v3/kv/range" -> StandInServer.json(range(body));
                case "/v3/kv/txn" -> StandInServer.json(transaction(body));
                case "/v3/lease/grant" -> StandInServer.json(grant(body));
                case "/v3/lease/keepalive" -> StandInServer.json(keepAlive(body));
                case "/v3/lease/revoke" -> StandInServer.json(revoke(body));
                case "/v3/watch" -> watch(body.path("create_request"));
                default -> HttpResponse.notFound404().build();
            };
        });
    }

    private ObjectNode range(JsonNode body) {
        String key = decodeText(body.path("key"));
        List<StoreValue> values = body.has("range_end")
                ? store.range(key, decodeText(body.path("range_end")))
                : store.get(key).stream().toList();
        ObjectNode response = newResponse();
        ArrayNode entries = response.putArray("kvs");
        values.forEach(value -> entries.add(encode(value)));
        return response;
    }

    private ObjectNode transaction(JsonNode body) {
        JsonNode compare = body.path("compare").path(0);
        long expected = compare.path("mod_revision").asLong();
        JsonNode operation = body.path("success").path(0);
        boolean succeeded;
        if (operation.has("request_put")) {
            JsonNode put = operation.path("request_put");
            OptionalLong lease =
                    put.has("lease") ? OptionalLong.of(put.path("lease").asLong()) : OptionalLong.empty();
            Bytes value =
                    Bytes.copyOf(Base64.getDecoder().decode(put.path("value").asText()));
            succeeded = store.put(decodeText(put.path("key")), value, expected, lease);
        } else {
            succeeded = store.delete(
                    decodeText(operation.path("request_delete_range").path("key")), expected);
        }
        return newResponse().put("succeeded", succeeded);
    }

    private ObjectNode grant(JsonNode body) {
        long lease = store.grantLease(clock.getAsLong(), body.path("TTL").asLong() * MILLIS_PER_SECOND);
        return newResponse().put("ID", Long.toString(lease));
    }

    private ObjectNode keepAlive(JsonNode body) {
        long ttlMillis = store.keepAlive(body.path("ID").asLong(), clock.getAsLong());
        ObjectNode response = newResponse();
        response.putObject("result").put("TTL", Long.toString(ttlMillis / MILLIS_PER_SECOND));
        return response;
    }

    private ObjectNode revoke(JsonNode body) {
        store.revoke(body.path("ID").asLong());
        return newResponse();
    }

    private HttpResponse watch(JsonNode create) {
        ChannelBuffer<ByteBuf> events = new ChannelBuffer<>(1, BUFFERED_EVENTS);
        String from = decodeText(create.path("key"));
        String end = create.has("range_end") ? decodeText(create.path("range_end")) : from + '\0';
        Runnable stop =
                store.watch(from, end, create.path("start_revision").asLong(), value -> sendWatchEvent(events, value));
        events.setCloseable(_exception -> stop.run());
        return HttpResponse.ok200().withBodyStream(events.getSupplier()).build();
    }

    private void sendWatchEvent(ChannelBuffer<ByteBuf> events, StoreValue value) {
        ObjectNode line = JsonHttpClient.MAPPER.createObjectNode();
        ObjectNode event = line.putObject("result").putArray("events").addObject();
        event.put("type", "PUT");
        event.set("kv", encode(value));
        events.put(ByteBuf.wrapForReading((line + "\n").getBytes(StandardCharsets.UTF_8)));
    }

    private ObjectNode newResponse() {
        ObjectNode response = JsonHttpClient.MAPPER.createObjectNode();
        response.putObject("header").put("revision", Long.toString(store.revision()));
        return response;
    }

    private static ObjectNode encode(StoreValue value) {
        ObjectNode entry = JsonHttpClient.MAPPER.createObjectNode();
        entry.put(
                "key",
                Base64.getEncoder().encodeToString(Bytes.ofText(value.key()).toArray()));
        entry.put("value", Base64.getEncoder().encodeToString(value.value().toArray()));
        entry.put("mod_revision", Long.toString(value.revision().number()));
        return entry;
    }

    private static String decodeText(JsonNode encoded) {
        return new String(Base64.getDecoder().decode(encoded.asText()), StandardCharsets.UTF_8);
    }
}
