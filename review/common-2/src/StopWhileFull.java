import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A host is stopped with SIGTERM while requests wait in it because all places of the runners are taken. */
final class StopWhileFull {
    private static final int RUNNERS = 4;
    private static final int SLOTS = 12;
    private static final int EVENTS = 60;
    private static final long PACE_MILLIS = 130;
    // Nine tenths of what the runners can take, 48 streams of 7.8 s each; a third of it is the largest tenant's.
    private static final double REQUESTS_PER_SECOND = 5.4;
    // For 6.5 s that tenant sends 7.5 times its usual, as in the site file.
    private static final double HOT_REQUESTS_PER_SECOND = 5.4 * (1 + 6.5 * 0.33);
    private static final double HOT_SECONDS = 6.5;
    private static final double STOP_AFTER_HOT_SECONDS = 4.5;
    private static final long DEADLINE_MILLIS = 20_000;
    private static final double SLACK_SECONDS = 0.2;
    private static final long GRACE_MILLIS = 8_000;

    private static volatile double stopAt;
    private static volatile Kit.Host stopped;
    private static final Set<String> ran = ConcurrentHashMap.newKeySet();
    private static final AtomicInteger answered = new AtomicInteger();
    private static final AtomicInteger refused = new AtomicInteger();
    private static final AtomicInteger unread = new AtomicInteger();
    private static final AtomicInteger cutWhileRunning = new AtomicInteger();
    private static final AtomicInteger lost = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments, StopWhileFull::run);
    }

    private static int run() throws Exception {
        Kit.Store store = new Kit.Store();
        store.put("op/config", Kit.configuration(1)
                .replace("\"timeout_ms\":25000", "\"timeout_ms\":20000")
                .replace("\"slots\":64", "\"slots\":" + SLOTS));
        for (int index = 0; index < RUNNERS; index++) {
            new Runner(store, "llm", "zone-" + (char) ('a' + index % 3), SLOTS, 24, (runner, request, socket, out) -> {
                ran.add(request.header("x-attempt-id"));
                return Runner.stream(EVENTS, 55, PACE_MILLIS).run(runner, request, socket, out);
            });
        }
        List<Kit.Host> hosts = Kit.newHosts(2, store.port(), "\"health\", \"pool\", \"places\", \"pressure\", ");
        for (Kit.Host host : hosts) {
            host.start();
        }
        Kit.awaitReady(hosts, 20_000);
        Kit.sleep(5_000);
        double hotFrom = Kit.now() + 12;
        stopAt = hotFrom + STOP_AFTER_HOT_SECONDS;
        stopped = hosts.get(0);
        double end = stopAt + 12;
        List<Thread> clients = new ArrayList<>();
        boolean stopping = false;
        for (int number = 0; Kit.now() < end; number++) {
            if (!stopping && Kit.now() >= stopAt) {
                stopping = true;
                if (Kit.TROUBLE) {
                    hosts.get(0).terminate();
                    Kit.daemon(() -> awaitEnd(hosts.get(0)));
                }
            }
            // Two questions of the balancer, one a second, take the host out of rotation.
            boolean out = Kit.TROUBLE && Kit.now() >= stopAt + 2;
            Kit.Host host = out ? hosts.get(1) : hosts.get(number % 2);
            clients.add(Kit.daemon(() -> ask(host)));
            boolean hot = Kit.now() >= hotFrom && Kit.now() < hotFrom + HOT_SECONDS;
            Kit.sleep((long) (1_000 / (hot ? HOT_REQUESTS_PER_SECOND : REQUESTS_PER_SECOND)));
        }
        for (Thread client : clients) {
            client.join();
        }
        Kit.note(answered + " answered, " + refused + " refused, " + unread + " not read, " + cutWhileRunning
                + " cut while a runner worked on them, " + lost + " read, not run and closed without an answer");
        return lost.get() > 0 ? Kit.BROKEN : answered.get() > 0 ? Kit.HELD : Kit.COULD_NOT_RUN;
    }

    private static void awaitEnd(Kit.Host host) {
        try {
            host.awaitEnd(GRACE_MILLIS);
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
    }

    private static void ask(Kit.Host host) {
        String id = Kit.uniqueId();
        Map<String, String> headers = Kit.headers(id, DEADLINE_MILLIS);
        headers.put("X-Model-Name", "m0");
        headers.put("X-Token-Count", "1460,600");
        headers.put("X-Prompt-Prefix", "5c1e07a2:512,91bd" + id.substring(0, 4) + ":410," + id.substring(0, 8) + ":538");
        double sentAt = 0;
        try (Kit.Client client = new Kit.Client(host)) {
            client.send("POST", "/plan/1", headers, Runner.text("hello " + id));
            sentAt = Kit.now();
            Kit.Message answer = client.receive((int) DEADLINE_MILLIS + 1_000);
            if (answer == null) {
                throw new IOException("closed without a complete answer");
            }
            (answer.status() == 200 ? answered : refused).incrementAndGet();
        } catch (IOException failure) {
            double after = Kit.now() - sentAt;
            boolean hasRun = ran.contains(id);
            if (hasRun) {
                cutWhileRunning.incrementAndGet();
            } else if (Kit.TROUBLE
                    && host == stopped
                    && sentAt > 0
                    && after > SLACK_SECONDS
                    && after < DEADLINE_MILLIS / 1e3
                    && !(failure instanceof java.net.SocketTimeoutException)
                    && Kit.now() > stopAt
                    && Kit.now() < stopAt + GRACE_MILLIS / 1e3 + 1) {
                lost.incrementAndGet();
            } else {
                unread.incrementAndGet();
            }
            Kit.note(String.format("request %s at %s: %s %.1f s after its last byte; %s", id, host.name(),
                    failure.getMessage(), after, hasRun ? "a runner worked on it" : "not run"));
        }
    }
}
