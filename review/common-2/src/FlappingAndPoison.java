import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requests with one part of a prompt crash each runner that begins to write an answer on them, while other runners of the
 * service go down and up by turns.
 */
final class FlappingAndPoison {
    // Bounds as on the sheet of badvakt-lm-grown, whose page names runners that go down and up by turns.
    private static final String PART = "bad0cafe";
    private static final double IN_TOUCH_SECONDS = 4.0;
    private static final int SUBJECTS = 143;
    private static final int RUNNERS = 20;
    private static final int FLAPPING_RUNNERS = 2;
    private static final double FLAPPING_SECONDS = 6.5;
    private static final long PERIOD_MILLIS = 4_500;
    private static final long BACK_MILLIS = 2_500;

    private record Crash(double at, String attemptId) {}

    private static final List<Crash> reached = java.util.Collections.synchronizedList(new ArrayList<>());
    private static final AtomicInteger served = new AtomicInteger();
    private static final AtomicInteger failed = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments, FlappingAndPoison::run);
    }

    private static int run() throws Exception {
        Kit.Store store = new Kit.Store();
        store.put("op/config", Kit.configuration(1));
        List<Runner> runners = new ArrayList<>();
        for (int index = 0; index < RUNNERS; index++) {
            runners.add(new Runner(store, "llm", "zone-" + (char) ('a' + index % 3), 64, 134, (runner, request, socket, out) -> {
                if (request.header("x-prompt-prefix").contains(PART)) {
                    reached.add(new Crash(Kit.now(), request.header("x-attempt-id")));
                    Kit.note("request " + request.header("x-attempt-id") + " crashes " + runner.id());
                    StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
                    runner.sealedHeaders(request).forEach(
                            (name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
                    head.append("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nid: 1\r\n");
                    out.write(Runner.text(head.toString()));
                    out.flush();
                    Kit.sleep(2);
                    runner.crash(BACK_MILLIS);
                    return false;
                }
                return Runner.stream(20, 55, 30).run(runner, request, socket, out);
            }));
        }
        List<Kit.Host> hosts = Kit.newHosts(3, store.port());
        for (Kit.Host host : hosts) {
            host.start();
        }
        Kit.awaitReady(hosts, 20_000);
        Kit.sleep(4_000);
        double end = Kit.now() + 48;
        for (Kit.Host host : hosts) {
            for (int client = 0; client < 20; client++) {
                Kit.daemon(() -> {
                    while (Kit.now() < end) {
                        ask(host, "5c1e07a2:512," + subject() + ":410");
                        Kit.sleep(50);
                    }
                });
            }
        }
        Kit.sleep(2_000);
        if (Kit.TROUBLE) {
            for (int index = 0; index < FLAPPING_RUNNERS; index++) {
                Runner flapping = runners.get(index);
                int number = index;
                Kit.daemon(() -> flap(flapping, number, Kit.now() + FLAPPING_SECONDS));
            }
        }
        for (int number = 0; Kit.now() < end; number++) {
            Kit.Host host = hosts.get(number % hosts.size());
            Kit.daemon(() -> ask(host, "5c1e07a2:512," + PART + ":300"));
            Kit.sleep(PERIOD_MILLIS);
        }
        List<Crash> all = List.copyOf(reached);
        if (all.size() < 5) {
            Kit.note("only " + all.size() + " requests with the part reached a runner");
            return Kit.HELD;
        }
        double judgedFrom = all.get(4).at() + IN_TOUCH_SECONDS;
        long late = all.stream().filter(crash -> crash.at() > judgedFrom).count();
        long requests = all.stream().filter(crash -> crash.at() > judgedFrom).map(Crash::attemptId).distinct().count();
        Kit.note("fifth crash at " + all.get(4).at() + "; later than " + IN_TOUCH_SECONDS + " s after it " + requests
                + " requests with the part reached runners " + late + " times");
        for (Kit.Host host : hosts) {
            host.logLines("\"event\":\"prompt_parts\"").forEach(line -> Kit.note(host.name() + " logs " + line));
        }
        Kit.note("sound requests: " + served + " answered, " + failed + " not");
        return requests > 3 ? Kit.BROKEN : Kit.HELD;
    }

    // Sound requests are about many subjects, each with a part of its own.
    private static String subject() {
        return String.format("91bd%04x", ThreadLocalRandom.current().nextInt(SUBJECTS));
    }

    // Each time, the runner is down for 0.4 s and up for 1 s.
    private static void flap(Runner runner, int number, double end) {
        Kit.sleep(100 + number * 470L);
        while (Kit.now() < end) {
            try {
                runner.crash(400);
            } catch (IOException failure) {
                Kit.note("crash: " + failure);
            }
            Kit.sleep(1_400);
        }
    }

    private static void ask(Kit.Host host, String sharedParts) {
        String id = Kit.uniqueId();
        Map<String, String> headers = Kit.headers(id, 25_000);
        headers.put("X-Model-Name", "m0");
        headers.put("X-Token-Count", "1460,80");
        headers.put("X-Prompt-Prefix", sharedParts + "," + id.substring(0, 8) + ":250");
        headers.put("Session", "s-" + id);
        boolean poison = sharedParts.contains(PART);
        try (Kit.Client client = new Kit.Client(host)) {
            client.send("POST", "/plan/1", headers, Runner.text("hello " + id));
            Kit.Message answer = client.receive(26_000);
            if (poison) {
                Kit.note("request " + id + " with the part at " + host.name() + ": " + (answer == null ? "cut" : answer.firstLine()));
            } else {
                (answer != null && answer.status() == 200 ? served : failed).incrementAndGet();
            }
        } catch (IOException failure) {
            if (poison) {
                Kit.note("request " + id + " with the part at " + host.name() + ": " + failure.getMessage());
            } else {
                failed.incrementAndGet();
            }
        }
    }
}
