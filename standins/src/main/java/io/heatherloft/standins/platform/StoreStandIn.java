package io.heatherloft.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.http.CallerExchange;
import io.heatherloft.router.http.CallerHandler;
import io.heatherloft.router.http.CallerRequest;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A small stand-in of the platform's metadata store, in memory.
 *
 * <p>Invariant: the revision grows by one with each change. Confined to the loop's thread.
 */
public final class StoreStandIn implements CallerHandler {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String BACKENDS = "servers/";
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;
    private static final int PRECONDITION_FAILED = 412;
    private static final int UNAVAILABLE = 503;

    private final Loop loop;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private final Map<String, Integer> callsByPath = new HashMap<>();
    private Fault fault = Fault.NONE;
    private long revision = 1;
    private long droppedUpTo;
    private long lastLease;

    /** Creates an empty store. */
    public StoreStandIn(Loop loop) {
        this.loop = loop;
    }

    /** What the store does instead of answering. */
    public enum Fault {
        /** Answers as it should. */
        NONE,
        /** Refuses each call. */
        REFUSING,
        /** Takes calls and never answers. */
        SILENT,
        /** Carries writes out and closes the connection without an answer. */
        LOSING_ANSWERS
    }

    /** Sets the fault from now on. */
    public void setFault(Fault newFault) {
        this.fault = newFault;
        if (newFault != Fault.NONE) {
            List.copyOf(waiting).forEach(call -> call.exchange().abort());
            waiting.clear();
        }
    }

    /** Writes a key as an operator or a backend server does. */
    public void put(String key, String value) {
        revision++;
        Item item = new Item(key, value.getBytes(StandardCharsets.UTF_8).clone(), revision);
        items.put(key, item);
        publish(new Event(key, revision, Optional.of(item)));
    }

    /** Deletes a key as if its lease had lapsed. */
    public void delete(String key) {
        if (items.remove(key) != null) {
            revision++;
            publish(new Event(key, revision, Optional.empty()));
        }
    }

    /** Writes the configuration as an operator does. */
    public void putConfiguration(String value) {
        put("op/config", value);
    }

    /** Writes the entry of a backend server. */
    public void putBackend(String id, String value) {
        put(BACKENDS + id, value);
    }

    /** Deletes the entry of a backend server. */
    public void deleteBackend(String id) {
        delete(BACKENDS + id);
    }

    /** Forgets the history, so that watches that are behind must start anew. */
    public void dropHistory() {
        history.clear();
        droppedUpTo = revision;
    }

    /** Returns a value as text. */
    public Optional<String> read(String key) {
        return Optional.ofNullable(items.get(key)).map(item -> new String(item.value(), StandardCharsets.UTF_8));
    }

    /** Returns the number of calls on a path. */
    public int calls(String path) {
        return callsByPath.getOrDefault(path, 0);
    }

    @Override
    public void onRequest(CallerRequest request, CallerExchange exchange) {
        QueryStringDecoder query = new QueryStringDecoder(request.target());
        callsByPath.merge(query.path(), 1, Integer::sum);
        switch (fault) {
            case REFUSING -> answer(exchange, UNAVAILABLE, JSON.createObjectNode());
            case SILENT -> waiting.add(new Waiting("", Long.MAX_VALUE, exchange));
            default -> dispatch(query, request, exchange);
        }
    }

    private void dispatch(QueryStringDecoder query, CallerRequest request, CallerExchange exchange) {
        String path = query.path();
        if (path.equals("/v1/kv-key")) {
            Item item = items.get(parameter(query, "key"));
            answer(exchange, item == null ? NOT_FOUND : OK, item == null ? JSON.createObjectNode() : json(item));
        } else if (path.equals("/v1/kv-range")) {
            range(parameter(query, "prefix"), exchange);
        } else if (path.equals("/v1/kv-watch")) {
            watch(query, exchange);
        } else if (path.equals("/v1/kv-txn")) {
            transaction(request, exchange);
        } else if (path.equals("/v1/kv-lease")) {
            lastLease++;
            answer(exchange, OK, JSON.createObjectNode().put("lease", lastLease).put("ttl_ms", 3_000));
        } else if (path.startsWith("/v1/kv-keep/")) {
            answer(exchange, OK, JSON.createObjectNode().put("ttl_ms", 3_000));
        } else {
            answer(exchange, NOT_FOUND, JSON.createObjectNode());
        }
    }

    private void range(String prefix, CallerExchange exchange) {
        ObjectNode body = JSON.createObjectNode();
        ArrayNode listed = body.putArray("items");
        items.tailMap(prefix).values().stream()
                .takeWhile(item -> item.key().startsWith(prefix))
                .forEach(item -> listed.add(json(item)));
        body.put("more_pages", false).put("store_revision", revision);
        answer(exchange, OK, body);
    }

    private void watch(QueryStringDecoder query, CallerExchange exchange) {
        long after = Long.parseLong(parameter(query, "after"));
        if (after < droppedUpTo) {
            answer(exchange, GONE, JSON.createObjectNode());
            return;
        }
        Waiting call = new Waiting(parameter(query, "prefix"), after, exchange);
        waiting.add(call);
        loop.schedule(Long.parseLong(parameter(query, "wait_ms")), () -> {
            if (waiting.remove(call)) {
                answerWatch(call, List.of());
            }
        });
        serveWaiting();
    }

    private void publish(Event event) {
        history.add(event);
        serveWaiting();
    }

    private void serveWaiting() {
        List.copyOf(waiting).forEach(call -> {
            List<Event> events = history.stream()
                    .filter(event ->
                            event.revision() > call.after() && event.key().startsWith(call.prefix()))
                    .toList();
            if (!events.isEmpty()) {
                waiting.remove(call);
                answerWatch(call, events);
            }
        });
    }

    private void answerWatch(Waiting call, List<Event> events) {
        ObjectNode body = JSON.createObjectNode();
        ArrayNode listed = body.putArray("events");
        events.forEach(event -> listed.add(event.item().map(StoreStandIn::json).orElseGet(() -> JSON.createObjectNode()
                .put("key", event.key())
                .put("revision", event.revision())
                .put("deleted", true))));
        body.put("store_revision", revision);
        answer(call.exchange(), OK, body);
    }

    private void transaction(CallerRequest request, CallerExchange exchange) {
        try {
            JsonNode body = JSON.readTree(request.body().toArray());
            boolean holds = true;
            for (JsonNode condition : body.path("expected_rev")) {
                Item item = items.get(condition.path("key").asText());
                holds &= (item == null ? 0 : item.revision())
                        == condition.path("revision").asLong();
            }
            if (!holds) {
                answer(exchange, PRECONDITION_FAILED, JSON.createObjectNode());
                return;
            }
            body.path("set_keys")
                    .forEach(set -> put(
                            set.path("key").asText(),
                            new String(
                                    Base64.getDecoder().decode(set.path("value").asText()), StandardCharsets.UTF_8)));
            body.path("drop").forEach(key -> delete(key.asText()));
            if (fault == Fault.LOSING_ANSWERS) {
                exchange.abort();
            } else {
                answer(exchange, OK, JSON.createObjectNode().put("revision", revision));
            }
        } catch (IOException exception) {
            answer(exchange, 400, JSON.createObjectNode().put("error", exception.getMessage()));
        }
    }

    private static ObjectNode json(Item item) {
        return JSON.createObjectNode()
                .put("key", item.key())
                .put("value", Base64.getEncoder().encodeToString(item.value()))
                .put("revision", item.revision())
                .put("created_rev", item.revision())
                .put("lease", 0);
    }

    private static String parameter(QueryStringDecoder query, String name) {
        return query.parameters().getOrDefault(name, List.of("")).get(0);
    }

    private static void answer(CallerExchange exchange, int status, JsonNode body) {
        DefaultHttpHeaders headers = new DefaultHttpHeaders();
        headers.set("Content-Type", "application/json");
        headers.set("Keep-Alive", "timeout=30");
        exchange.sendResponse(
                status, headers, Unpooled.wrappedBuffer(body.toString().getBytes(StandardCharsets.UTF_8)));
    }

    @SuppressWarnings({"ArrayRecordComponent", "DangerousRecordArrayField"}) // Compared by nobody.
    private record Item(String key, byte[] value, long revision) {}

    private record Event(String key, long revision, Optional<Item> item) {}

    private record Waiting(String prefix, long after, CallerExchange exchange) {}
}
