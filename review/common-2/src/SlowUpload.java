import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients on slow links send their requests over some seconds while their host is stopped with SIGTERM. */
final class SlowUpload {
    private static final int CLIENTS = 64;
    private static final long SENDING_MILLIS = 3_000;
    private static final long WORK_MILLIS = 85;
    private static final long DEADLINE_MILLIS = 10_000;

    private static final Set<String> ran = ConcurrentHashMap.newKeySet();
    private static final AtomicInteger answered = new AtomicInteger();
    private static final AtomicInteger unread = new AtomicInteger();
    private static final AtomicInteger lost = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments, SlowUpload::run);
    }

    private static int run() throws Exception {
        Kit.Store store = new Kit.Store();
        store.put("op/config", Kit.configuration(1).replace("\"timeout_ms\":4000", "\"timeout_ms\":10000"));
        for (int index = 0; index < 3; index++) {
            new Runner(store, "desk", "zone-" + (char) ('a' + index), 6, 24, (runner, request, socket, out) -> {
                ran.add(request.header("x-attempt-id"));
                return Runner.answerAfter(WORK_MILLIS).run(runner, request, socket, out);
            });
        }
        List<Kit.Host> hosts = Kit.newHosts(2, store.port());
        for (Kit.Host host : hosts) {
            host.start();
        }
        Kit.awaitReady(hosts, 20_000);
        Kit.sleep(4_000);
        Kit.Host stopped = hosts.get(0);
        double end = Kit.now() + 16;
        List<Thread> clients = new ArrayList<>();
        for (int index = 0; index < CLIENTS; index++) {
            int number = index;
            clients.add(Kit.daemon(() -> book(stopped, number, end)));
        }
        Kit.sleep(7_000);
        if (Kit.TROUBLE) {
            stopped.terminate();
            stopped.awaitEnd(8_000);
        }
        for (Thread client : clients) {
            client.join();
        }
        Kit.note(answered + " bookings answered, " + unread + " closed and not run, " + lost + " run by a runner and closed without an answer");
        return lost.get() > 0 ? Kit.BROKEN : answered.get() > 0 ? Kit.HELD : Kit.COULD_NOT_RUN;
    }

    private static void book(Kit.Host host, int number, double end) {
        Kit.sleep(number * SENDING_MILLIS / CLIENTS);
        Random random = new Random(number);
        while (Kit.now() < end - SENDING_MILLIS / 1e3) {
            String id = Kit.uniqueId();
            boolean sent = false;
            try (Kit.Client client = new Kit.Client(host)) {
                OutputStream out = client.socket().getOutputStream();
                StringBuilder head = new StringBuilder("POST /swap/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 600\r\n");
                for (Map.Entry<String, String> header : Kit.headers(id, DEADLINE_MILLIS).entrySet()) {
                    head.append(header.getKey()).append(": ").append(header.getValue()).append("\r\n");
                }
                out.write(Runner.text(head + "\r\n"));
                for (int part = 0; part < 6; part++) {
                    Kit.sleep(SENDING_MILLIS / 6 - 20 + random.nextInt(40));
                    out.write(Runner.text("b".repeat(100)));
                }
                sent = true;
                double sentAt = Kit.now();
                Kit.Message answer = client.receive((int) DEADLINE_MILLIS);
                if (answer == null) {
                    throw new IOException("closed without an answer");
                }
                answered.incrementAndGet();
                Kit.note(String.format("booking %s: %s, %.0f ms after its last byte", id, answer.firstLine(), (Kit.now() - sentAt) * 1e3));
            } catch (IOException failure) {
                Kit.sleep(300);
                boolean hasRun = ran.contains(id);
                (hasRun ? lost : unread).incrementAndGet();
                Kit.note("booking " + id + (sent ? ", sent as a whole: " : ", sent in part: ") + failure.getMessage()
                        + (hasRun ? "; a runner has run it" : "; not run"));
                return;
            }
        }
    }
}
