import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/** A sound runner: checks who is meant, has slots and a queue, says so if it has not run a request, and seals its answers. */
final class Runner {
    /** A request that reached the runner, whether it ran or not. */
    record Arrival(double at, String attemptId, String method, String target, boolean ran) {}

    /** Work of one run; returns false to have the connection closed. */
    interface Work {
        boolean run(Runner runner, Kit.Message request, Socket socket, OutputStream out) throws IOException;
    }

    private final Kit.Store store;
    private final String service;
    private final String zone;
    private final int slots;
    private final IntSupplier queue;
    private final Supplier<Map<String, String>> notices;
    private final Rejection rejection;
    private final Work work;
    private final Kit.Server server;
    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger waiting = new AtomicInteger();
    private volatile String id;
    private volatile boolean up;

    /** What happens besides when a request is turned away for want of room. */
    interface Rejection {
        void on(Runner runner) throws IOException;
    }

    Runner(Kit.Store store, String service, String zone, int slots, int queue, Work work) throws IOException {
        this(store, service, zone, slots, () -> queue, Map::of, runner -> {}, work);
    }

    /**
     * Creates a runner and registers it.
     *
     * @param queue supplies the number of requests that may wait for a slot
     * @param notices supplies headers that all answers have
     */
    Runner(
            Kit.Store store,
            String service,
            String zone,
            int slots,
            IntSupplier queue,
            Supplier<Map<String, String>> notices,
            Rejection rejection,
            Work work)
            throws IOException {
        this.store = store;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.queue = queue;
        this.notices = notices;
        this.rejection = rejection;
        this.work = work;
        this.server = new Kit.Server(this::handle);
        join();
    }

    private void join() {
        id = "i-" + Kit.uniqueId().substring(0, 10);
        up = true;
        store.put("servers/" + id, Kit.entry(service, server.port(), zone, "v1", slots, "ready", 1, System.currentTimeMillis()));
        Kit.note("runner " + id + " of " + service + " registers");
    }

    String id() {
        return id;
    }

    List<Arrival> arrivals() {
        return arrivals;
    }

    /** Ends at once and is back, with a new id, after a time; its entry is removed after three silent status reports. */
    synchronized void crash(long backMillis) throws IOException {
        if (!up) {
            return;
        }
        up = false;
        String ended = id;
        Kit.note("runner " + ended + " crashes");
        server.crash();
        running.set(0);
        waiting.set(0);
        Kit.daemon(() -> {
            Kit.sleep(3_600);
            store.delete("servers/" + ended);
        });
        Kit.daemon(() -> {
            Kit.sleep(backMillis);
            try {
                server.restart();
                join();
            } catch (IOException failure) {
                Kit.note("runner could not start again: " + failure);
            }
        });
    }

    Map<String, String> headers(Kit.Message request) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Attempt-Id", request.header("x-attempt-id"));
        headers.put("X-Runner-Id", id);
        headers.put("Keep-Alive", "timeout=5");
        headers.putAll(notices.get());
        return headers;
    }

    Map<String, String> sealedHeaders(Kit.Message request) {
        Map<String, String> headers = headers(request);
        headers.put("X-Runner-Seal", id + ".01.00");
        return headers;
    }

    private boolean handle(Kit.Message request, Socket socket, OutputStream out) throws IOException {
        String here = id;
        if (!up) {
            return false;
        }
        String expected = request.header("x-expect-runner");
        if (!expected.isEmpty() && !expected.equals(here)) {
            Kit.respond(out, "421 Misdirected Request", headers(request), new byte[0]);
            return true;
        }
        boolean hasRoom = enter();
        arrivals.add(new Arrival(
                Kit.now(), request.header("x-attempt-id"), request.method(), request.target(), hasRoom));
        if (!hasRoom) {
            Map<String, String> headers = headers(request);
            headers.put("X-Not-Executed", "1");
            Kit.respond(out, "503 Service Unavailable", headers, new byte[0]);
            rejection.on(this);
            return true;
        }
        try {
            return work.run(this, request, socket, out);
        } finally {
            if (here.equals(id)) {
                running.decrementAndGet();
            }
        }
    }

    // Waits for a slot; false if the queue is full.
    private boolean enter() {
        if (waiting.get() >= queue.getAsInt() && running.get() >= slots) {
            return false;
        }
        waiting.incrementAndGet();
        while (!tryRun()) {
            Kit.sleep(1);
            if (!up) {
                return false;
            }
        }
        waiting.decrementAndGet();
        return true;
    }

    private synchronized boolean tryRun() {
        if (running.get() >= slots) {
            return false;
        }
        running.incrementAndGet();
        return true;
    }

    static byte[] text(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Answers with 800 bytes after a time. */
    static Work answerAfter(long millis) {
        return (runner, request, socket, out) -> {
            Kit.sleep(millis);
            Kit.respond(out, "200 OK", runner.sealedHeaders(request), text("x".repeat(800)));
            return true;
        };
    }

    /** Streams numbered events. */
    static Work stream(int events, int bytes, long gapMillis) {
        return (runner, request, socket, out) -> {
            StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
            runner.sealedHeaders(request).forEach(
                    (name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            out.write(text(head.toString()));
            String last = request.header("last-event-id");
            int first = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
            for (int event = first; event <= events; event++) {
                Kit.sleep(gapMillis);
                String piece = "id: " + event + "\ndata: " + "y".repeat(bytes) + "\n\n";
                out.write(text(Integer.toHexString(piece.length()) + "\r\n" + piece + "\r\n"));
                out.flush();
            }
            out.write(text("0\r\n\r\n"));
            out.flush();
            return true;
        };
    }
}
