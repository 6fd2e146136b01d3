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
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * TWICE: a faulty runner sends the beginning of an earlier refusal once more after it. The next answer on the kept connection is
 * read as part of that refusal, and the request that has run is run at a second runner.
 */
final class TruncatedCopy {
    private static final int CLIENTS = 45;
    private static final long RUN_MILLIS = 10_000;
    private static final long TROUBLE_FROM_MILLIS = 3_000;
    private static final long TROUBLE_UNTIL_MILLIS = 8_000;
    private static final long WORK_MILLIS = 15;
    // Each runner works on so many requests at once, lets a few more wait, and refuses those beyond.
    private static final int SLOTS = 6;
    private static final int WAITING = 2;
    // The faulty runner spoils no more than this share of the answers that it gives during the disruption: one in 50.
    private static final double SPOILT_SHARE = 0.02;

    private final Lab lab;
    private final Map<String, Queue<String>> runsById = new ConcurrentHashMap<>();
    private final Map<String, Integer> answers = new ConcurrentHashMap<>();
    private final AtomicInteger answersInTrouble = new AtomicInteger();
    private final AtomicInteger refusals = new AtomicInteger();
    private volatile long trafficSinceMillis;
    private final AtomicInteger spoilt = new AtomicInteger();

    private TruncatedCopy(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] arguments) {
        Lab.main(arguments, lab -> new TruncatedCopy(lab).run());
    }

    // Beside the bookings, which may be sent to one runner, a route whose requests may be sent to a second one after a refusal.
    private static String configuration() {
        String bookings = Lab.configuration(1);
        int start = bookings.indexOf("{\"name\":\"bookings\"");
        int end = bookings.indexOf("},", start) + 2;
        String transfers = bookings.substring(start, end)
                .replace("bookings", "transfers")
                .replace("\"max_attempts\":1", "\"max_attempts\":2");
        return bookings.substring(0, end) + transfers + bookings.substring(end);
    }

    private boolean run() throws Exception {
        lab.store.put("op/config", configuration());
        for (String id : List.of("desk-1", "desk-2", "desk-3")) {
            Semaphore slots = new Semaphore(SLOTS, true);
            AtomicInteger present = new AtomicInteger();
            lab.new Runner(id, (request, out) -> serve(id, slots, present, request, out)).register("desk", "ready", 1, SLOTS);
        }
        Lab.Host host = lab.startHost("front-1");
        long begin = System.currentTimeMillis();
        trafficSinceMillis = begin;
        List<Thread> clients = new ArrayList<>();
        for (int index = 0; index < CLIENTS; index++) {
            String name = (index % 3 == 0 ? "booking" : "transfer") + index;
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
        lab.note("requests answered: " + answers.size() + "; refused by full runners: " + refusals + "; answers of desk-1 during the disruption: "
                + answersInTrouble + ", followed by a truncated copy: " + spoilt);
        twice.forEach(line -> lab.note("TWICE: " + line));
        refused.forEach(line -> lab.note("REFUSED: " + line));
        return !twice.isEmpty();
    }

    private boolean serve(
            String runner, Semaphore slots, AtomicInteger present, Lab.Message request, OutputStream out)
            throws IOException {
        String id = request.header("X-Attempt-Id");
        boolean faulty = runner.equals("desk-1") && isTroubleTime();
        if (faulty) {
            answersInTrouble.incrementAndGet();
        }
        try {
            if (present.incrementAndGet() > SLOTS + WAITING) {
                refuse(runner, id, faulty, out);
                return true;
            }
            slots.acquireUninterruptibly();
            try {
                runsById.computeIfAbsent(id, _id -> new ConcurrentLinkedQueue<>()).add(runner);
                lab.note(runner + " ran " + id);
                Lab.sleep(WORK_MILLIS);
            } finally {
                slots.release();
            }
        } finally {
            present.decrementAndGet();
        }
        Lab.write(out, Lab.response("200 OK", id, "X-Runner-Seal: " + runner + ".seal\r\n", "booked by " + runner));
        return true;
    }

    private boolean isTroubleTime() {
        long elapsed = System.currentTimeMillis() - trafficSinceMillis;
        return lab.trouble && elapsed >= TROUBLE_FROM_MILLIS && elapsed < TROUBLE_UNTIL_MILLIS;
    }

    private void refuse(String runner, String id, boolean faulty, OutputStream out) throws IOException {
        refusals.incrementAndGet();
        String refusal = Lab.response("503 Service Unavailable", id, "X-Not-Executed: 1\r\n", "");
        if (faulty && maySpoil()) {
            String copy = refusal.substring(0, refusal.indexOf("X-Not-Executed: 1") + "X-Not-Executed: 1".length());
            Lab.write(out, refusal + copy);
            lab.note(runner + " refused " + id + " and sent the first " + copy.length() + " bytes of the refusal once more");
        } else {
            Lab.write(out, refusal);
            lab.note(runner + " refused " + id);
        }
    }

    private synchronized boolean maySpoil() {
        boolean allowed = spoilt.get() + 1 <= answersInTrouble.get() * SPOILT_SHARE;
        if (allowed) {
            spoilt.incrementAndGet();
        }
        return allowed;
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
                    socket.getOutputStream().write(Lab.request("POST", (name.startsWith("b") ? "/bookings/" : "/transfers/") + id, id, 4_000, new byte[20]));
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
