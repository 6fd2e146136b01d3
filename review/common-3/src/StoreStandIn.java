import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** In-memory stand-in for the platform's store: ranges, watches, transactions and leases that never end. Thread-safe. */
final class StoreStandIn {
    private static final ObjectMapper JSON = new ObjectMapper();

    // The time for which the platform's store keeps changes (history_s in the settings).
    private static final long HISTORY_MILLIS = 20_000;

    private record Item(
            String key, byte[] value, long revision, long createdRevision, boolean deleted, long writtenNanos) {}

    private final ServerSocket listener;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private long revision = 1;
    private long droppedRevision;
    private long lastLease;
    private long largestWatchBytes;

    StoreStandIn(String ip) throws IOException {
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 128);
        Threads.start(this::accept);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    synchronized long put(String key, String value) {
        return put(key, value.getBytes(StandardCharsets.UTF_8));
    }

    private synchronized long put(String key, byte[] value) {
        revision++;
        Item before = items.get(key);
        Item item = new Item(key, value, revision, before == null ? revision : before.createdRevision(), false, System.nanoTime());
        items.put(key, item);
        history.add(item);
        notifyAll();
        return revision;
    }

    synchronized void delete(String key) {
        Item before = items.remove(key);
        if (before != null) {
            revision++;
            history.add(new Item(key, new byte[0], revision, before.createdRevision(), true, System.nanoTime()));
            notifyAll();
        }
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            Threads.start(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Http.Head head = Http.readHead(in);
            while (head != null) {
                byte[] body = Http.readBody(head, in);
                Answer answer = answer(head, body);
                byte[] content = JSON.writeValueAsBytes(answer.body());
                recordSize(head, content.length);
                out.write(Http.ascii("HTTP/1.1 " + answer.status() + " -\r\nContent-Type: application/json\r\n"
                        + "Store-Era: 1\r\nKeep-Alive: timeout=30\r\nContent-Length: " + content.length + "\r\n\r\n"));
                out.write(content);
                out.flush();
                head = Http.readHead(in);
            }
        }
    }

    private synchronized void recordSize(Http.Head head, int length) {
        if (head.target().startsWith("/v1/kv-watch")) {
            largestWatchBytes = Math.max(largestWatchBytes, length);
        }
    }

    /** Returns the size of the largest answer to a watch so far, in bytes. */
    synchronized long largestWatchBytes() {
        return largestWatchBytes;
    }

    private record Answer(int status, JsonNode body) {}

    private Answer answer(Http.Head head, byte[] body) throws Exception {
        URI uri = URI.create(head.target());
        Map<String, String> query = new HashMap<>();
        for (String pair : (uri.getRawQuery() == null ? "" : uri.getRawQuery()).split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                query.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        String path = uri.getPath();
        if (path.equals("/v1/kv-range")) {
            return range(query.getOrDefault("prefix", ""), query.getOrDefault("after", ""));
        } else if (path.equals("/v1/kv-watch")) {
            return watch(
                    query.getOrDefault("prefix", ""),
                    Long.parseLong(query.get("after")),
                    Long.parseLong(query.get("wait_ms")));
        } else if (path.equals("/v1/kv-key")) {
            return get(query.get("key"));
        } else if (path.equals("/v1/kv-txn")) {
            return transaction(JSON.readTree(body));
        } else if (path.equals("/v1/kv-lease")) {
            synchronized (this) {
                lastLease++;
                return new Answer(200, JSON.createObjectNode().put("lease", lastLease).put("ttl_ms", 60_000));
            }
        } else if (path.startsWith("/v1/kv-keep/") || path.startsWith("/v1/kv-lease-end/")) {
            return new Answer(200, JSON.createObjectNode().put("ttl_ms", 60_000));
        }
        return new Answer(404, JSON.createObjectNode());
    }

    private synchronized Answer get(String key) {
        Item item = items.get(key);
        return item == null ? new Answer(404, JSON.createObjectNode()) : new Answer(200, json(item));
    }

    private synchronized Answer range(String prefix, String after) {
        ObjectNode body = JSON.createObjectNode();
        ArrayNode list = body.putArray("items");
        items.values().stream()
                .filter(item -> item.key().startsWith(prefix) && item.key().compareTo(after) > 0)
                .forEach(item -> list.add(json(item)));
        body.put("more_pages", false).put("store_revision", revision);
        return new Answer(200, body);
    }

    private synchronized Answer watch(String prefix, long after, long waitMillis) throws InterruptedException {
        long untilNanos = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            while (!history.isEmpty()
                    && System.nanoTime() - history.get(0).writtenNanos() > HISTORY_MILLIS * 1_000_000) {
                droppedRevision = history.remove(0).revision();
            }
            if (after < droppedRevision) {
                return new Answer(410, JSON.createObjectNode());
            }
            List<Item> events = history.stream()
                    .filter(item -> item.revision() > after && item.key().startsWith(prefix))
                    .toList();
            long leftMillis = (untilNanos - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMillis <= 0) {
                ObjectNode body = JSON.createObjectNode();
                ArrayNode list = body.putArray("events");
                events.forEach(item -> list.add(json(item)));
                body.put("store_revision", revision);
                return new Answer(200, body);
            }
            wait(leftMillis);
        }
    }

    private synchronized Answer transaction(JsonNode body) {
        for (JsonNode condition : body.path("expected_rev")) {
            Item item = items.get(condition.path("key").asText());
            if ((item == null ? 0 : item.revision()) != condition.path("revision").asLong()) {
                ObjectNode conflict = JSON.createObjectNode();
                ArrayNode current = conflict.putArray("items");
                body.path("expected_rev").forEach(row -> {
                    Item known = items.get(row.path("key").asText());
                    if (known != null) {
                        current.add(json(known));
                    }
                });
                return new Answer(412, conflict);
            }
        }
        body.path("set_keys")
                .forEach(set -> put(
                        set.path("key").asText(),
                        Base64.getDecoder().decode(set.path("value").asText())));
        body.path("drop").forEach(key -> delete(key.asText()));
        return new Answer(200, JSON.createObjectNode().put("revision", revision));
    }

    private static ObjectNode json(Item item) {
        ObjectNode node = JSON.createObjectNode().put("key", item.key()).put("revision", item.revision());
        if (item.deleted()) {
            return node.put("deleted", true);
        }
        return node.put("value", Base64.getEncoder().encodeToString(item.value()))
                .put("created_rev", item.createdRevision())
                .put("lease", 0);
    }
}
