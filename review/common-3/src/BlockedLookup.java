import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The three runners of a service crash at the same moment, once, while callers poll one status page. */
final class BlockedLookup {
    private static final int LOOKUP_CALLERS = 8;
    private static final int BOOKING_CALLERS = 4;
    private static final long PERIOD_MILLIS = 200;
    private static final long WORK_MILLIS = 80;
    private static final long STABLE_WINDOW_MILLIS = 3_000;
    // Three heartbeats of 1,200 ms, after which the store removes the entry of a runner that is silent.
    private static final long EXPIRY_MILLIS = 3_600;
    private static final long DOWN_MILLIS = 4_500;
    private static final long RECOVERY_MILLIS = 12_000;
    private static final long JUDGED_MILLIS = 40_000;

    private enum Phase {
        BEFORE,
        DOWN,
        JUDGED
    }

    private final Map<String, Integer> counts = new TreeMap<>();
    private volatile Phase phase = Phase.BEFORE;
    private volatile boolean running = true;
    private Fleet fleet;

    /** A runner that can crash: it closes its listener and its connections. */
    private static final class CrashingRunner {
        private final String id;
        private final ServerSocket listener = new ServerSocket();
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        private volatile boolean crashed;

        CrashingRunner(String id) throws IOException {
            this.id = id;
            listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
            Threads.start(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    open.add(socket);
                    Threads.start(() -> serve(socket));
                }
            });
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                Http.Head head = Http.readHead(in);
                while (head != null) {
                    Http.readBody(head, in);
                    Thread.sleep(WORK_MILLIS);
                    if (crashed) {
                        return;
                    }
                    RunnerStandIn.answer(out, head, 200, new byte[800]);
                    head = Http.readHead(in);
                }
            } finally {
                open.remove(socket);
            }
        }

        void crash() throws IOException {
            crashed = true;
            listener.close();
            for (Socket socket : open) {
                socket.close();
            }
        }

        String entry() {
            return "{\"service\":\"desk\",\"address\":\"127.0.0.1:" + listener.getLocalPort()
                    + "\",\"zone\":\"skane-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,"
                    + "\"seq\":1,\"born\":" + System.currentTimeMillis() + "}";
        }
    }

    int run(String[] arguments) throws Exception {
        boolean trouble = Fleet.hasTrouble();
        try (Fleet started = new Fleet(arguments, 2)) {
            fleet = started;
            List<CrashingRunner> runners = new ArrayList<>();
            for (int index = 1; index <= 3; index++) {
                CrashingRunner runner = new CrashingRunner("r-" + index);
                runners.add(runner);
                fleet.store.put("servers/" + runner.id, runner.entry());
            }
            fleet.store.put(
                    "op/config", Fleet.configuration(7, "").replace("\"timeout_ms\":20000", "\"timeout_ms\":600"));
            fleet.startHosts();
            Thread.sleep(STABLE_WINDOW_MILLIS);
            for (int number = 0; number < LOOKUP_CALLERS + BOOKING_CALLERS; number++) {
                int caller = number;
                Threads.start(() -> call(caller));
            }
            Thread.sleep(5_000);
            phase = Phase.DOWN;
            if (trouble) {
                for (CrashingRunner runner : runners) {
                    runner.crash();
                }
                fleet.record.say("the three runners crash");
                Thread.sleep(EXPIRY_MILLIS);
                for (CrashingRunner runner : runners) {
                    fleet.store.delete("servers/" + runner.id);
                }
                Thread.sleep(DOWN_MILLIS - EXPIRY_MILLIS);
                for (int index = 4; index <= 6; index++) {
                    CrashingRunner runner = new CrashingRunner("r-" + index);
                    fleet.store.put("servers/" + runner.id, runner.entry());
                }
                fleet.record.say("three new runners are ready after " + DOWN_MILLIS + " ms");
            }
            Thread.sleep(RECOVERY_MILLIS);
            phase = Phase.JUDGED;
            Thread.sleep(JUDGED_MILLIS);
            running = false;
            Thread.sleep(1_000);
            for (EntryHost host : fleet.hosts) {
                for (String line : host.logLines()) {
                    if (line.contains("crashing_request")) {
                        fleet.record.add("log: " + line);
                    }
                }
            }
            synchronized (counts) {
                counts.forEach((key, count) -> fleet.record.say(key + ": " + count));
            }
            double lookups = served("lookups");
            double all = served("");
            fleet.record.say("from " + RECOVERY_MILLIS + " ms after the return on, served: lookups "
                    + Math.round(100 * lookups) + " in 100, all requests " + Math.round(100 * all) + " in 100");
            boolean broken = lookups < all / 4;
            fleet.record.say(broken ? "BROKEN" : "held");
            return broken ? 1 : 0;
        }
    }

    private double served(String kind) {
        synchronized (counts) {
            int served = 0;
            int sent = 0;
            for (Map.Entry<String, Integer> entry : counts.entrySet()) {
                if (entry.getKey().startsWith(Phase.JUDGED + " " + kind)) {
                    sent += entry.getValue();
                    served += entry.getKey().contains("answered 200") ? entry.getValue() : 0;
                }
            }
            return sent == 0 ? 0 : (double) served / sent;
        }
    }

    private void call(int number) throws Exception {
        boolean lookup = number < LOOKUP_CALLERS;
        int count = 0;
        while (running) {
            String id = "caller-" + number + "-" + count;
            count++;
            Phase sentIn = phase;
            String outcome;
            try (Caller caller = new Caller(fleet.hosts.get(number % 2).callers())) {
                caller.setTimeout(2_000);
                byte[] body = Http.ascii("booking " + id);
                if (lookup) {
                    caller.send(Caller.head("GET", "/lookups/chairs", id, 600, 0));
                } else {
                    caller.send(Caller.head("POST", "/bookings/2f", id, 600, body.length), body);
                }
                Http.Head head = Http.readHead(caller.in());
                outcome = head == null
                        ? "closed"
                        : "answered " + head.status()
                                + (head.header("retry-after").isEmpty()
                                        ? ""
                                        : " Retry-After " + head.header("retry-after"));
            } catch (IOException failure) {
                outcome = String.valueOf(failure.getMessage());
            }
            String key = sentIn + " " + (lookup ? "lookups " : "bookings ") + outcome;
            synchronized (counts) {
                counts.merge(key, 1, Integer::sum);
            }
            Thread.sleep(PERIOD_MILLIS);
        }
    }
}
