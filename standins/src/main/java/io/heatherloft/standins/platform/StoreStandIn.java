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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.StreamSupport;

/**
 * In-memory stand-in for the platform's metadata store.
 *
 * <p>Invariant: within an era, every change increments the revision by one. Confined to the event loop's thread.
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
    private final Set<Long> leases = new HashSet<>();
    private long era = 1;

    /** Creates an empty store. */
    public StoreStandIn(Loop loop) {
        this.loop = loop;
    }

    /** Failure mode of the store. */
    public enum Fault {
        /** Responds normally. */
        NONE,
        /** Rejects every call with status 503. */
        REFUSING,
        /** Accepts calls and never responds. */
        SILENT,
        /** Applies writes, then closes the connection without a response. */
        LOSING_ANSWERS
    }

    /** Sets the failure mode; any mode but {@link Fault#NONE} also breaks the connections of pending calls. */
    public void setFault(Fault newFault) {
        this.fault = newFault;
        if (newFault != Fault.NONE) {
            breakPendingCalls();
        }
    }

    private void breakPendingCalls() {
        List.copyOf(pendingCalls).forEach(call -> call.exchange().abort());
        pendingCalls.clear();
    }

    /** Writes a key unconditionally, as an operator or a backend server would. */
    public void put(String key, String value) {
        revision++;
        StoredEntry entry =
                new StoredEntry(key, value.getBytes(StandardCharsets.UTF_8).clone(), revision);
        entries.put(key, entry);
        publish(new Event(key, revision, Optional.of(entry)));
    }

    /** Deletes a key as if its lease had expired. */
    public void delete(String key) {
        if (entries.remove(key) != null) {
            revision++;
            publish(new Event(key, revision, Optional.empty()));
        }
    }

    /** Writes the configuration, as an operator would. */
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

    /** Returns a copy of the contents, from which the store can be restored later. */
    public Copy copy() {
        return new Copy(new TreeMap<>(entries), List.copyOf(history), Set.copyOf(leases), revision);
    }

    /**
     * Replaces the contents by those of a copy and begins a new era: changes and leases since the copy are gone, and their
     * revisions are given out again. Breaks the connections of pending calls.
     */
    public void restore(Copy copy) {
        entries.clear();
        entries.putAll(copy.entries());
        history.clear();
        history.addAll(copy.history());
        leases.clear();
        leases.addAll(copy.leases());
        revision = copy.revision();
        era++;
        breakPendingCalls();
    }

    /** Compacts the event history; watches from an older revision get status 410 and must re-read the range. */
    public void compactHistory() {
        history.clear();
        compactedRevision = revision;
    }

    /** Returns the keys that start with a prefix, in order. */
    public List<String> keys(String prefix) {
        return entries.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    /** Returns the value of a key as UTF-8 text, or empty if the key is absent. */
    public Optional<String> read(String key) {
        return Optional.ofNullable(entries.get(key)).map(entry -> new String(entry.value(), StandardCharsets.UTF_8));
    }

    /** Returns the number of calls received on a path. */
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
            StoredEntry entry = entries.get(queryParameter(query, "key"));
            respond(exchange, entry == null ? NOT_FOUND : OK, entry == null ? JSON.createObjectNode() : json(entry));
        } else if (path.equals("/v1/kv-range")) {
            range(queryParameter(query, "prefix"), exchange);
        } else if (path.equals("/v1/kv-watch")) {
            watch(query, exchange);
        } else if (path.equals("/v1/kv-txn")) {
            transaction(request, exchange);
        } else if (path.equals("/v1/kv-lease")) {
            lastLeaseId++;
            leases.add(lastLeaseId);
            respond(
                    exchange,
                    OK,
                    JSON.createObjectNode().put("lease", lastLeaseId).put("ttl_ms", 3_000));
        } else if (path.startsWith("/v1/kv-keep/")) {
            boolean exists = leases.contains(Long.parseLong(path.substring("/v1/kv-keep/".length())));
            respond(exchange, exists ? OK : NOT_FOUND, JSON.createObjectNode().put("ttl_ms", 3_000));
        } else {
            respond(exchange, NOT_FOUND, JSON.createObjectNode());
        }
    }

    private void range(String prefix, CallerExchange exchange) {
        ObjectNode body = JSON.createObjectNode();
        ArrayNode entriesJson = body.putArray("items");
        entries.tailMap(prefix).values().stream()
                .takeWhile(entry -> entry.key().startsWith(prefix))
                .forEach(entry -> entriesJson.add(json(entry)));
        body.put("more_pages", false).put("store_revision", revision);
        respond(exchange, OK, body);
    }

    private void watch(QueryStringDecoder query, CallerExchange exchange) {
        long after = Long.parseLong(queryParameter(query, "after"));
        if (after < compactedRevision || after > revision) {
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
        ArrayNode eventsJson = body.putArray("events");
        events.forEach(
                event -> eventsJson.add(event.entry().map(StoreStandIn::json).orElseGet(() -> JSON.createObjectNode()
                        .put("key", event.key())
                        .put("revision", event.revision())
                        .put("deleted", true))));
        body.put("store_revision", revision);
        respond(call.exchange(), OK, body);
    }

    private void transaction(CallerRequest request, CallerExchange exchange) {
        try {
            JsonNode body = JSON.readTree(request.body().toArray());
            boolean conditionsMet = true;
            for (JsonNode condition : body.path("expected_rev")) {
                StoredEntry entry = entries.get(condition.path("key").asText());
                conditionsMet &= (entry == null ? 0 : entry.revision())
                        == condition.path("revision").asLong();
            }
            if (!conditionsMet) {
                respond(exchange, PRECONDITION_FAILED, JSON.createObjectNode());
                return;
            }
            boolean leasesExist = StreamSupport.stream(body.path("set_keys").spliterator(), false)
                    .mapToLong(set -> set.path("lease").asLong())
                    .allMatch(lease -> lease == 0 || leases.contains(lease));
            if (!leasesExist) {
                respond(exchange, NOT_FOUND, JSON.createObjectNode());
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

    private static ObjectNode json(StoredEntry entry) {
        return JSON.createObjectNode()
                .put("key", entry.key())
                .put("value", Base64.getEncoder().encodeToString(entry.value()))
                .put("revision", entry.revision())
                .put("created_rev", entry.revision())
                .put("lease", 0);
    }

    private static String queryParameter(QueryStringDecoder query, String name) {
        return query.parameters().getOrDefault(name, List.of("")).get(0);
    }

    private void respond(CallerExchange exchange, int status, JsonNode body) {
        DefaultHttpHeaders headers = new DefaultHttpHeaders();
        headers.set("Content-Type", "application/json");
        headers.set("Keep-Alive", "timeout=30");
        headers.set("Store-Era", era);
        exchange.sendResponse(
                status, headers, Unpooled.wrappedBuffer(body.toString().getBytes(StandardCharsets.UTF_8)));
    }

    /** Contents of the store at a revision. */
    public record Copy(Map<String, StoredEntry> entries, List<Event> history, Set<Long> leases, long revision) {}

    @SuppressWarnings({"ArrayRecordComponent", "DangerousRecordArrayField"}) // Never compared by equals.
    record StoredEntry(String key, byte[] value, long revision) {}

    record Event(String key, long revision, Optional<StoredEntry> entry) {}

    private record PendingCall(String prefix, long after, CallerExchange exchange) {}
}
