package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * BUDGET: a part of a prompt crashes each runner that begins to write an answer on it, in the middle of the answer's head.
 * The hosts never block the part: request after request reaches runner after runner, and the service is down most of the time.
 */
final class CrashingPart {
    private static final int HOSTS = 3;
    private static final int RUNNERS = 6;
    private static final int SOUND_CLIENTS = 24;
    private static final String SHARED_PART = "5c1e07a2:512";
    private static final String CRASHING_PART = "bad00bad:300";
    private static final int EVENTS = 8;
    private static final long PREFILL_MILLIS = 100;
    private static final long EVENT_MILLIS = 20;
    // The runner has begun to write its answer when it crashes, but has not finished the head.
    private static final int WRITTEN_BYTES = 60;
    private static final long CRASH_DELAY_MILLIS = 5;
    // "The runner is back after some seconds".
    private static final long RESTART_MILLIS = 3_000;
    // A request with the part comes every two seconds, at each host in turn, no two alike.
    private static final long PART_EVERY_MILLIS = 2_000;
    private static final int REQUESTS_WITH_PART = 24;
    private static final long STABLE_WINDOW_MILLIS = 3_000;
    private static final int RULE_CRASHES = 5;
    private static final int RULE_ARRIVALS = 3;

    private final Lab lab;
    private final List<Long> crashes = new CopyOnWriteArrayList<>();
    private final List<Long> arrivals = new CopyOnWriteArrayList<>();
    private final Map<String, AtomicInteger> soundBefore = new TreeMap<>();
    private final Map<String, AtomicInteger> soundSince = new TreeMap<>();
    private volatile boolean partsCome;
    private volatile boolean ended;

    private CrashingPart(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] arguments) {
        Lab.main(arguments, lab -> new CrashingPart(lab).run());
    }

    private static String configuration() {
        return ("{'version':1,'routes':[{'name':'plans','host':'a.example','prefix':'/plans/','route_type':'stream',"
                        + "'timeout_ms':25000,'objective_ms':1500,'priority':1,'service':'llm','max_attempts':3,"
                        + "'anonymous':false,'session_affinity':true,'stream_resume':true,'gap_target_ms':1000}],"
                        + "'services':[{'name':'llm','health_path':'/health','max_conns':360,'protocol':'h1','tls':false,"
                        + "'engine':{'slots':64,'kv_capacity_tokens':717826,'models':[{'name':'m0','cost':0.016}]}}],"
                        + "'limits':{'max_header_bytes':16384,'max_body_bytes':4194304,'header_timeout_ms':3000,"
                        + "'idle_timeout_ms':15000},'tenants':[{'name':'" + Lab.TENANT + "','api_keys':['" + Lab.KEY
                        + "'],'priority':1}]}")
                .replace('\'', '"');
    }

    private boolean run() throws Exception {
        lab.store.put("op/config", configuration());
        for (int index = 1; index <= RUNNERS; index++) {
            new CrashingRunner("llm-" + index).start(0);
        }
        List<Lab.Host> hosts = new ArrayList<>();
        for (int index = 1; index <= HOSTS; index++) {
            hosts.add(lab.startHost("front-" + index));
        }
        for (int index = 0; index < SOUND_CLIENTS; index++) {
            int number = index;
            Lab.inBackground(() -> useSoundClient(hosts.get(number % HOSTS), number));
        }
        Lab.sleep(6_000);
        partsCome = true;
        for (int index = 0; index < REQUESTS_WITH_PART; index++) {
            int number = index;
            Lab.inBackground(() -> {
                String id = "part-" + number;
                lab.note(id + " answered " + send(hosts.get(number % HOSTS), id, CRASHING_PART));
            });
            Lab.sleep(PART_EVERY_MILLIS);
        }
        ended = true;
        Lab.sleep(1_000);
        long late = crashes.size() < RULE_CRASHES
                ? 0
                : arrivals.stream()
                        .filter(at -> at > crashes.get(RULE_CRASHES - 1) + STABLE_WINDOW_MILLIS)
                        .count();
        for (Lab.Host host : hosts) {
            host.noteLog("\"event\":\"prompt_parts\"", 5);
        }
        lab.note("sound requests before, by outcome: " + soundBefore + "; since the requests with the part come: " + soundSince);
        lab.note("crashes " + crashes.size() + ", requests with the part that reached runners " + arrivals.size()
                + ", of these later than " + STABLE_WINDOW_MILLIS + " ms after the fifth crash " + late + " (allowed: "
                + RULE_ARRIVALS + ")");
        return late > RULE_ARRIVALS;
    }

    private void useSoundClient(Lab.Host host, int client) {
        String part = Integer.toHexString(0xaaaa0000 + client % 8) + ":300";
        for (int number = 1; !ended; number++) {
            String outcome = send(host, "sound-" + client + "-" + number, part);
            Map<String, AtomicInteger> counts = partsCome ? soundSince : soundBefore;
            synchronized (counts) {
                counts.computeIfAbsent(outcome, _outcome -> new AtomicInteger()).incrementAndGet();
            }
            Lab.sleep(50);
        }
    }

    private String send(Lab.Host host, String id, String part) {
        String own = Integer.toHexString(id.hashCode()) + ":200";
        String body = "prompt of " + id;
        String request = "POST /plans/north HTTP/1.1\r\nHost: " + Lab.HOST_NAME + "\r\nX-Attempt-Id: " + id
                + "\r\nX-Deadline-Ms: 25000\r\nAuthorization: Bearer " + Lab.KEY
                + "\r\nX-Model-Name: m0\r\nX-Token-Count: 1012,80\r\nSession: " + id + "\r\nX-Prompt-Prefix: " + SHARED_PART
                + "," + part + "," + own + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        try (Socket socket = host.connect()) {
            socket.setSoTimeout(26_000);
            Lab.write(socket.getOutputStream(), request);
            return String.valueOf(Lab.Message.read(new BufferedInputStream(socket.getInputStream())).status());
        } catch (IOException exception) {
            return "broken off";
        }
    }

    /** A model runner that crashes on the part: its connections are reset and its port refuses connections until it is back. */
    private final class CrashingRunner {
        private final String id;
        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
        private ServerSocket listening;
        private long born = 1_772_662_159_541L;

        CrashingRunner(String id) {
            this.id = id;
        }

        synchronized void start(int port) throws IOException {
            ServerSocket opened = new ServerSocket();
            opened.setReuseAddress(true);
            opened.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 128);
            listening = opened;
            born++;
            lab.store.put(
                    "servers/" + id,
                    ("{'service':'llm','address':'127.0.0.1:%d','zone':'skane-a','version':'v1','slots':64,'state':'ready',"
                                    + "'cold_left_ms':0,'seq':1,'born':%d}")
                            .formatted(opened.getLocalPort(), born)
                            .replace('\'', '"'));
            Lab.inBackground(() -> accept(opened));
        }

        private void accept(ServerSocket opened) {
            while (true) {
                try {
                    Socket socket = opened.accept();
                    connections.add(socket);
                    Lab.inBackground(() -> serve(socket));
                } catch (IOException exception) {
                    return;
                }
            }
        }

        private synchronized void crash(String request) {
            if (listening.isClosed()) {
                return;
            }
            crashes.add(System.currentTimeMillis());
            lab.note(id + " crashed on " + request);
            int port = listening.getLocalPort();
            try {
                listening.close();
                for (Socket socket : connections) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                }
            } catch (IOException exception) {
                lab.note(id + ": " + exception);
            }
            connections.clear();
            Lab.inBackground(() -> {
                Lab.sleep(RESTART_MILLIS);
                try {
                    start(port);
                } catch (IOException exception) {
                    lab.note(id + " could not start again: " + exception);
                }
            });
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    answer(Lab.Message.read(in), socket.getOutputStream());
                }
            } catch (IOException exception) {
                // The host has closed the connection, or the runner has crashed.
                connections.remove(socket);
            }
        }

        private void answer(Lab.Message request, OutputStream out) throws IOException {
            String attempt = request.header("X-Attempt-Id");
            boolean withPart = request.header("X-Prompt-Prefix").contains(CRASHING_PART);
            if (withPart) {
                arrivals.add(System.currentTimeMillis());
                lab.note(attempt + " reached " + id);
            }
            Lab.sleep(PREFILL_MILLIS);
            String head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Runner-Seal: " + id
                    + ".seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                    + "Keep-Alive: timeout=5\r\n\r\n";
            if (withPart && lab.trouble) {
                Lab.write(out, head.substring(0, WRITTEN_BYTES));
                Lab.sleep(CRASH_DELAY_MILLIS);
                crash(attempt);
                return;
            }
            Lab.write(out, head);
            String last = request.header("Last-Event-Id");
            for (int event = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; event <= EVENTS; event++) {
                byte[] text = ("id: " + event + "\ndata: token " + event + "\n\n").getBytes(StandardCharsets.ISO_8859_1);
                Lab.write(out, Integer.toHexString(text.length) + "\r\n" + new String(text, StandardCharsets.ISO_8859_1) + "\r\n");
                Lab.sleep(EVENT_MILLIS);
            }
            Lab.write(out, "0\r\n\r\n");
        }
    }
}
