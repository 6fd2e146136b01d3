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
    private static final String BACKEND_KEY_PREFIX = "servers/";
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;
    private static final int PRECONDITION_FAILED = 412;
    private static final int UNAVAILABLE = 503;

    private final Loop loop;
    private final TreeMap<String, StoredEntry> entries = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final List<PendingCall> pendingCalls = new ArrayList<>();
    private final Map<String, Integer> callsByPath = new HashMap<>();
    private Fault fault = Fault.NONE;
    private long revision = 1;
    private long compactedRevision;
    private long lastLeaseId;

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
            List.copyOf(pendingCalls).forEach(call -> call.exchange().abort());
            pendingCalls.clear();
        }
    }

    /** Writes a key as an operator or a backend server does. */
    public void put(String key, String value) {
        revision++;
        StoredEntry item = new StoredEntry(key, value.getBytes(StandardCharsets.UTF_8).clone(), revision);
        entries.put(key, item);
        publish(new Event(key, revision, Optional.of(item)));
    }

    /** Deletes a key as if its lease had lapsed. */
    public void delete(String key) {
        if (entries.remove(key) != null) {
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
        put(BACKEND_KEY_PREFIX + id, value);
    }

    /** Deletes the entry of a backend server. */
    public void deleteBackend(String id) {
        delete(BACKEND_KEY_PREFIX + id);
    }

    /** Forgets the history, so that watches that are behind must start anew. */
    public void compactHistory() {
        history.clear();
        compactedRevision = revision;
    }

    /** Returns a value as text. */
    public Optional<String> read(String key) {
        return Optional.ofNullable(entries.get(key)).map(item -> new String(item.value(), StandardCharsets.UTF_8));
    }

    /** Returns the number of calls on a path. */
    public int callCount(String path) {
        return callsByPath.getOrDefault(path, 0);
    }

    @Override
    public void onRequest(CallerRequest request, CallerExchange exchange) {
        QueryStringDecoder query = new QueryStringDecoder(request.target());
        callsByPath.merge(query.path(), 1, Integer::sum);
        switch (fault) {
            case REFUSING -> respond(exchange, UNAVAILABLE, JSON.createObjectNode());
            case SILENT -> pendingCalls.add(new PendingCall("", Long.MAX_VALUE, exchange));
            default -> dispatch(query, request, exchange);
        }
    }

    private void dispatch(QueryStringDecoder query, CallerRequest request, CallerExchange exchange) {
        String path = query.path();
        if (path.equals("/v1/kv-key")) {
            StoredEntry item = entries.get(queryParameter(query, "key"));
            respond(exchange, item == null ? NOT_FOUND : OK, item == null ? JSON.createObjectNode() : json(item));
        } else if (path.equals("/v1/kv-range")) {
            range(queryParameter(query, "prefix"), exchange);
        } else if (path.equals("/v1/kv-watch")) {
            watch(query, exchange);
        } else if (path.equals("/v1/kv-txn")) {
            transaction(request, exchange);
        } else if (path.equals("/v1/kv-lease")) {
            lastLeaseId++;
            respond(exchange, OK, JSON.createObjectNode().put("lease", lastLeaseId).put("ttl_ms", 3_000));
        } else if (path.startsWith("/v1/kv-keep/")) {
            respond(exchange, OK, JSON.createObjectNode().put("ttl_ms", 3_000));
        } else {
            respond(exchange, NOT_FOUND, JSON.createObjectNode());
        }
    }

    private void range(String prefix, CallerExchange exchange) {
        ObjectNode body = JSON.createObjectNode();
        ArrayNode listed = body.putArray("items");
        entries.tailMap(prefix).values().stream()
                .takeWhile(item -> item.key().startsWith(prefix))
                .forEach(item -> listed.add(json(item)));
        body.put("more_pages", false).put("store_revision", revision);
        respond(exchange, OK, body);
    }

    private void watch(QueryStringDecoder query, CallerExchange exchange) {
        long after = Long.parseLong(queryParameter(query, "after"));
        if (after < compactedRevision) {
            respond(exchange, GONE, JSON.createObjectNode());
            return;
        }
        PendingCall call = new PendingCall(queryParameter(query, "prefix"), after, exchange);
        pendingCalls.add(call);
        loop.schedule(Long.parseLong(queryParameter(query, "wait_ms")), () -> {
            if (pendingCalls.remove(call)) {
                respondToWatch(call, List.of());
            }
        });
        completeWatches();
    }

    private void publish(Event event) {
        history.add(event);
        completeWatches();
    }

    private void completeWatches() {
        List.copyOf(pendingCalls).forEach(call -> {
            List<Event> events = history.stream()
                    .filter(event ->
                            event.revision() > call.after() && event.key().startsWith(call.prefix()))
                    .toList();
            if (!events.isEmpty()) {
                pendingCalls.remove(call);
                respondToWatch(call, events);
            }
        });
    }

    private void respondToWatch(PendingCall call, List<Event> events) {
        ObjectNode body = JSON.createObjectNode();
        ArrayNode listed = body.putArray("events");
        events.forEach(event -> listed.add(event.entry().map(StoreStandIn::json).orElseGet(() -> JSON.createObjectNode()
                .put("key", event.key())
                .put("revision", event.revision())
                .put("deleted", true))));
        body.put("store_revision", revision);
        respond(call.exchange(), OK, body);
    }

    private void transaction(CallerRequest request, CallerExchange exchange) {
        try {
            JsonNode body = JSON.readTree(request.body().toArray());
            boolean holds = true;
            for (JsonNode condition : body.path("expected_rev")) {
                StoredEntry item = entries.get(condition.path("key").asText());
                holds &= (item == null ? 0 : item.revision())
                        == condition.path("revision").asLong();
            }
            if (!holds) {
                respond(exchange, PRECONDITION_FAILED, JSON.createObjectNode());
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
                respond(exchange, OK, JSON.createObjectNode().put("revision", revision));
            }
        } catch (IOException exception) {
            respond(exchange, 400, JSON.createObjectNode().put("error", exception.getMessage()));
        }
    }

    private static ObjectNode json(StoredEntry item) {
        return JSON.createObjectNode()
                .put("key", item.key())
                .put("value", Base64.getEncoder().encodeToString(item.value()))
                .put("revision", item.revision())
                .put("created_rev", item.revision())
                .put("lease", 0);
    }

    private static String queryParameter(QueryStringDecoder query, String name) {
        return query.parameters().getOrDefault(name, List.of("")).get(0);
    }

    private static void respond(CallerExchange exchange, int status, JsonNode body) {
        DefaultHttpHeaders headers = new DefaultHttpHeaders();
        headers.set("Content-Type", "application/json");
        headers.set("Keep-Alive", "timeout=30");
        exchange.sendResponse(
                status, headers, Unpooled.wrappedBuffer(body.toString().getBytes(StandardCharsets.UTF_8)));
    }

    @SuppressWarnings({"ArrayRecordComponent", "DangerousRecordArrayField"}) // Compared by nobody.
    private record StoredEntry(String key, byte[] value, long revision) {}

    private record Event(String key, long revision, Optional<StoredEntry> entry) {}

    private record PendingCall(String prefix, long after, CallerExchange exchange) {}
}
