package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * TWICE: a faulty runner sends the beginning of an earlier refusal once more after it. The next answer on the kept connection is
 * read as part of that refusal, and the request that has run is run at a second runner.
 */
final class TruncatedCopy {
    private static final int CLIENTS = 4;
    private static final long RUN_MILLIS = 10_000;
    private static final long TROUBLE_FROM_MILLIS = 3_000;
    private static final long TROUBLE_UNTIL_MILLIS = 8_000;
    private static final long WORK_MILLIS = 15;
    // The faulty runner is full now and then and says so. This is no disruption, and happens without it too.
    private static final int REFUSES_ONE_IN = 25;
    // Of all its answers, the faulty runner spoils no more than this share: one in 50.
    private static final double SPOILT_SHARE = 0.02;

    private final Lab lab;
    private final long startMillis = System.currentTimeMillis();
    private final Map<String, Queue<String>> runsById = new ConcurrentHashMap<>();
    private final Map<String, Integer> answers = new ConcurrentHashMap<>();
    private final AtomicInteger received = new AtomicInteger();
    private final AtomicInteger spoilt = new AtomicInteger();

    private TruncatedCopy(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] arguments) {
        Lab.main(arguments, lab -> new TruncatedCopy(lab).run());
    }

    private boolean run() throws Exception {
        lab.store.put("op/config", Lab.configuration(1));
        lab.new Runner("desk-1", this::serveFaulty).register("desk", "ready", 1);
        lab.new Runner("desk-2", (request, out) -> serve("desk-2", request, out)).register("desk", "ready", 1);
        lab.new Runner("desk-3", (request, out) -> serve("desk-3", request, out)).register("desk", "ready", 1);
        Lab.Host host = lab.startHost("front-1");
        long begin = System.currentTimeMillis();
        List<Thread> clients = new ArrayList<>();
        for (int index = 0; index < CLIENTS; index++) {
            String name = "c" + index;
            Thread client = new Thread(() -> send(host, name, begin));
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) {
            client.join();
        }
        List<String> twice = runsById.entrySet().stream()
                .filter(entry -> entry.getValue().size() > 1)
                .map(entry -> entry.getKey() + " ran at " + entry.getValue() + ", answered "
                        + answers.getOrDefault(entry.getKey(), -1))
                .toList();
        List<String> refused = runsById.keySet().stream()
                .filter(id -> List.of(408, 421, 429, 503).contains(answers.getOrDefault(id, -1)))
                .map(id -> id + " ran and was answered " + answers.get(id))
                .toList();
        lab.note("requests answered: " + answers.size() + "; answers of desk-1: " + received + ", followed by a truncated copy: "
                + spoilt);
        twice.forEach(line -> lab.note("TWICE: " + line));
        refused.forEach(line -> lab.note("REFUSED: " + line));
        return !twice.isEmpty() || !refused.isEmpty();
    }

    private boolean serveFaulty(Lab.Message request, OutputStream out) throws IOException {
        String id = request.header("X-Attempt-Id");
        int number = received.incrementAndGet();
        if (number % REFUSES_ONE_IN != 0) {
            return serve("desk-1", request, out);
        }
        String refusal = Lab.response("503 Service Unavailable", id, "X-Not-Executed: 1\r\n", "");
        long elapsed = System.currentTimeMillis() - startMillis;
        boolean spoils = lab.trouble
                && elapsed >= TROUBLE_FROM_MILLIS
                && elapsed < TROUBLE_UNTIL_MILLIS
                && spoilt.get() + 1 <= number * SPOILT_SHARE;
        if (spoils) {
            spoilt.incrementAndGet();
            String copy = refusal.substring(0, refusal.indexOf("X-Not-Executed: 1") + "X-Not-Executed: 1".length());
            Lab.write(out, refusal + copy);
            lab.note("desk-1 refused " + id + " and sent the first " + copy.length() + " bytes of the refusal once more");
        } else {
            Lab.write(out, refusal);
            lab.note("desk-1 refused " + id);
        }
        return true;
    }

    private boolean serve(String runner, Lab.Message request, OutputStream out) throws IOException {
        String id = request.header("X-Attempt-Id");
        runsById.computeIfAbsent(id, _id -> new ConcurrentLinkedQueue<>()).add(runner);
        lab.note(runner + " ran " + id);
        Lab.sleep(WORK_MILLIS);
        Lab.write(out, Lab.response("200 OK", id, "X-Runner-Seal: " + runner + ".seal\r\n", "booked by " + runner));
        return true;
    }

    private void send(Lab.Host host, String name, long begin) {
        int number = 0;
        while (System.currentTimeMillis() - begin < RUN_MILLIS) {
            try (Socket socket = host.connect()) {
                socket.setSoTimeout(6_000);
                BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                while (System.currentTimeMillis() - begin < RUN_MILLIS) {
                    number++;
                    String id = name + "-" + number;
                    socket.getOutputStream().write(Lab.request("POST", "/bookings/" + id, id, 4_000, new byte[20]));
                    Lab.Message answer = Lab.Message.read(in);
                    answers.put(id, answer.status());
                    lab.note(name + " got " + answer.status() + " for " + id + " (" + answer.header("X-Attempt-Id") + ")");
                    Lab.sleep(10);
                }
            } catch (IOException exception) {
                lab.note(name + ": " + exception);
            }
        }
    }
}
