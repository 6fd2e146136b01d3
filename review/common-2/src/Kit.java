import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Stand-ins of the platform and of clients, and the entry hosts as separate processes, for the scripts of this review.
 *
 * <p>All addresses are loopback addresses. Every process started here is killed when the program ends.
 */
final class Kit {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int COULD_NOT_RUN = 2;
    /** False if the case runs without its disruption. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final int METRICS_PORT = 9_464;
    private static final long LONGEST_RUN_SECONDS = 112;
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long START = System.nanoTime();
    private static final List<Host> HOSTS = Collections.synchronizedList(new ArrayList<>());
    private static PrintWriter record;
    private static Path directory;

    private Kit() {}

    /** What a case does; returns its exit code. */
    interface Case {
        int run() throws Exception;
    }

    /** Runs a case and ends the program with its exit code; arguments: folder of the case. */
    static void main(String[] arguments, Case body) throws Exception {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[0], "record.txt")), true);
        directory = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(Kit::cleanUp));
        daemon(() -> {
            sleep(LONGEST_RUN_SECONDS * 1_000);
            note("the case took too long");
            end(COULD_NOT_RUN);
        });
        int code;
        try {
            note("disruption: " + (TROUBLE ? "on" : "off"));
            code = body.run();
        } catch (Exception | AssertionError failure) {
            note("the case could not run: " + failure);
            failure.printStackTrace();
            code = COULD_NOT_RUN;
        }
        end(code);
    }

    private static void end(int code) {
        note("exit code " + code);
        System.exit(code);
    }

    private static void cleanUp() {
        List.copyOf(HOSTS).forEach(Host::kill);
        try (var files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException failure) {
            System.err.println("the temporary folder was not removed: " + failure.getMessage());
        }
    }

    static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    static synchronized void note(String text) {
        record.println(String.format(Locale.ROOT, "%8.3f  %s", now(), text));
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static String uniqueId() {
        return String.format("%016x", new Random().nextLong());
    }

    /** A request or the head of a response, with names of headers in lower case. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a head; null if the connection ended before it was complete. */
    static Message readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(in); ; line = readLine(in)) {
            if (line == null) {
                return null;
            }
            if (line.isEmpty()) {
                return new Message(first, headers, new byte[0]);
            }
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
    }

    /** Reads a whole message that has a length or chunks; null if the connection ended before it was complete. */
    static Message readMessage(InputStream in) throws IOException {
        Message head = readHead(in);
        if (head == null) {
            return null;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (head.header("transfer-encoding").equals("chunked")) {
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    return null;
                }
                int length = Integer.parseInt(size.trim(), 16);
                byte[] chunk = in.readNBytes(length);
                if (chunk.length < length || readLine(in) == null) {
                    return null;
                }
                if (length == 0) {
                    break;
                }
                body.writeBytes(chunk);
            }
        } else {
            int length = Integer.parseInt(head.headers().getOrDefault("content-length", "0"));
            byte[] content = in.readNBytes(length);
            if (content.length < length) {
                return null;
            }
            body.writeBytes(content);
        }
        return new Message(head.firstLine(), head.headers(), body.toByteArray());
    }

    /** Handles one request on a connection; returns false to have the connection closed. */
    interface Handler {
        boolean handle(Message request, Socket socket, OutputStream out) throws IOException;
    }

    /** Answers HTTP requests on a loopback address, with a thread for each connection. */
    static final class Server {
        private final Handler handler;
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        private ServerSocket listener;

        Server(Handler handler) throws IOException {
            this.handler = handler;
            listen(0);
        }

        int port() {
            return listener.getLocalPort();
        }

        private void listen(int port) throws IOException {
            ServerSocket opened = new ServerSocket();
            opened.setReuseAddress(true);
            opened.bind(new InetSocketAddress("127.0.0.1", port), 512);
            listener = opened;
            daemon(() -> accept(opened));
        }

        private void accept(ServerSocket opened) {
            while (!opened.isClosed()) {
                try {
                    Socket socket = opened.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    daemon(() -> serve(socket));
                } catch (IOException failure) {
                    sleep(1);
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                boolean open = true;
                while (open) {
                    Message request = readMessage(in);
                    open = request != null && handler.handle(request, socket, out);
                }
            } catch (IOException failure) {
                // The other side has closed or reset the connection.
            } finally {
                sockets.remove(socket);
            }
        }

        /** Stops listening and resets all connections, as the end of the process does. */
        void crash() throws IOException {
            listener.close();
            for (Socket socket : sockets) {
                try {
                    socket.setSoLinger(true, 0);
                } catch (SocketException alreadyClosed) {
                    continue;
                }
                socket.close();
            }
        }

        /** Listens again, at another port. */
        void restart() throws IOException {
            listen(0);
        }
    }

    static void respond(OutputStream out, String status, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + "\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        whole.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        whole.writeBytes(body);
        out.write(whole.toByteArray());
        out.flush();
    }

    /** The platform's store: linearizable, with a history of all changes and leases that run out. */
    static final class Store {
        private record Item(String key, String value, long revision, long created, long lease) {}

        private record Event(String key, long revision, Item item) {}

        private final TreeMap<String, Item> items = new TreeMap<>();
        private final List<Event> history = new ArrayList<>();
        private final Map<Long, Long> leaseEnds = new HashMap<>();
        private final Map<Long, Long> leaseTimes = new HashMap<>();
        private final Server server;
        private long revision = 100;
        private long lastLease = 1_000;

        Store() throws IOException {
            server = new Server(this::handle);
            daemon(() -> {
                while (true) {
                    sleep(50);
                    endLeases();
                }
            });
        }

        int port() {
            return server.port();
        }

        private synchronized void endLeases() {
            long now = System.nanoTime();
            List<Long> ended = leaseEnds.entrySet().stream()
                    .filter(entry -> entry.getValue() < now)
                    .map(Map.Entry::getKey)
                    .toList();
            ended.forEach(this::endLease);
        }

        private void endLease(long lease) {
            leaseEnds.remove(lease);
            items.values().stream()
                    .filter(item -> item.lease() == lease)
                    .map(Item::key)
                    .toList()
                    .forEach(this::delete);
        }

        /** Writes a value as an operator or a runner does. */
        synchronized void put(String key, String value) {
            putEncoded(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
        }

        private void putEncoded(String key, String value, long lease) {
            revision++;
            Item before = items.get(key);
            Item item = new Item(key, value, revision, before == null ? revision : before.created(), lease);
            items.put(key, item);
            history.add(new Event(key, revision, item));
            notifyAll();
        }

        synchronized void delete(String key) {
            if (items.remove(key) != null) {
                revision++;
                history.add(new Event(key, revision, null));
                notifyAll();
            }
        }

        /** Returns the value of a key; null if there is none. */
        synchronized String read(String key) {
            Item item = items.get(key);
            return item == null ? null : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
        }

        private static ObjectNode json(Item item) {
            return JSON.createObjectNode()
                    .put("key", item.key())
                    .put("value", item.value())
                    .put("revision", item.revision())
                    .put("created_rev", item.created())
                    .put("lease", item.lease());
        }

        private boolean handle(Message request, Socket _socket, OutputStream out) throws IOException {
            String[] target = request.target().split("\\?", 2);
            Map<String, String> query = new HashMap<>();
            if (target.length > 1) {
                for (String pair : target[1].split("&")) {
                    int equals = pair.indexOf('=');
                    query.put(
                            pair.substring(0, equals),
                            java.net.URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
                }
            }
            ObjectNode body = JSON.createObjectNode();
            String status = answer(target[0], query, request, body);
            sleep(4);
            respond(
                    out,
                    status,
                    Map.of("Content-Type", "application/json", "Keep-Alive", "timeout=30"),
                    JSON.writeValueAsBytes(body));
            return true;
        }

        private synchronized String answer(String path, Map<String, String> query, Message request, ObjectNode body)
                throws IOException {
            if (path.equals("/v1/kv-key")) {
                Item item = items.get(query.get("key"));
                if (item == null) {
                    return "404 Not Found";
                }
                body.setAll(json(item));
                body.put("store_revision", revision);
            } else if (path.equals("/v1/kv-range")) {
                ArrayNode list = body.putArray("items");
                String prefix = query.getOrDefault("prefix", "");
                String after = query.getOrDefault("after", "");
                items.tailMap(prefix).values().stream()
                        .takeWhile(item -> item.key().startsWith(prefix))
                        .filter(item -> item.key().compareTo(after) > 0)
                        .forEach(item -> list.add(json(item)));
                body.put("more_pages", false).put("store_revision", revision);
            } else if (path.equals("/v1/kv-watch")) {
                watch(query, body);
            } else if (path.equals("/v1/kv-lease")) {
                long ttl = Math.max(1_000, Math.min(600_000, JSON.readTree(request.body()).path("ttl_ms").asLong()));
                lastLease++;
                leaseTimes.put(lastLease, ttl);
                leaseEnds.put(lastLease, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ttl));
                body.put("lease", lastLease).put("ttl_ms", ttl);
            } else if (path.startsWith("/v1/kv-keep/")) {
                long lease = Long.parseLong(path.substring("/v1/kv-keep/".length()));
                if (!leaseEnds.containsKey(lease)) {
                    return "404 Not Found";
                }
                long ttl = leaseTimes.get(lease);
                leaseEnds.put(lease, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ttl));
                body.put("ttl_ms", ttl);
            } else if (path.startsWith("/v1/kv-lease-end/")) {
                endLease(Long.parseLong(path.substring("/v1/kv-lease-end/".length())));
            } else if (path.equals("/v1/kv-txn")) {
                return transaction(JSON.readTree(request.body()), body);
            } else {
                return "404 Not Found";
            }
            return "200 OK";
        }

        private void watch(Map<String, String> query, ObjectNode body) {
            long after = Long.parseLong(query.get("after"));
            String prefix = query.getOrDefault("prefix", "");
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(query.get("wait_ms")));
            ArrayNode events = body.putArray("events");
            while (true) {
                history.stream()
                        .filter(event -> event.revision() > after && event.key().startsWith(prefix))
                        .forEach(event -> events.add(
                                event.item() != null
                                        ? json(event.item())
                                        : JSON.createObjectNode()
                                                .put("key", event.key())
                                                .put("revision", event.revision())
                                                .put("deleted", true)));
                long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
                if (!events.isEmpty() || left <= 0) {
                    body.put("store_revision", revision);
                    return;
                }
                try {
                    wait(left);
                } catch (InterruptedException interruption) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
        }

        private String transaction(JsonNode call, ObjectNode body) {
            boolean met = true;
            ArrayNode current = JSON.createArrayNode();
            for (JsonNode condition : call.path("expected_rev")) {
                Item item = items.get(condition.path("key").asText());
                met &= (item == null ? 0 : item.revision()) == condition.path("revision").asLong();
                if (item != null) {
                    current.add(json(item));
                }
            }
            if (!met) {
                body.set("items", current);
                return "412 Precondition Failed";
            }
            for (JsonNode set : call.path("set_keys")) {
                long lease = set.path("lease").asLong();
                if (lease != 0 && !leaseEnds.containsKey(lease)) {
                    return "404 Not Found";
                }
                String key = set.path("key").asText();
                if (key.startsWith("op/") || key.startsWith("servers/")) {
                    return "403 Forbidden";
                }
            }
            call.path("set_keys")
                    .forEach(set -> putEncoded(
                            set.path("key").asText(),
                            set.path("value").asText(),
                            set.path("lease").asLong()));
            call.path("drop").forEach(key -> delete(key.asText()));
            body.put("revision", revision);
            return "200 OK";
        }
    }

    /** An entry host in a process of its own, started by the command of the deploy file. */
    static final class Host {
        private final String name;
        private final Path settings;
        private final String ip;
        private final int front;
        private final int ready;
        private Process process;
        private int starts;

        private Host(String name, String ip, int front, int ready, Path settings) {
            this.name = name;
            this.ip = ip;
            this.front = front;
            this.ready = ready;
            this.settings = settings;
        }

        String name() {
            return name;
        }

        String ip() {
            return ip;
        }

        int front() {
            return front;
        }

        void start() throws IOException {
            String command = Files.readAllLines(Path.of("deploy", "system.toml")).stream()
                    .filter(line -> line.startsWith("run = "))
                    .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                    .findFirst()
                    .orElseThrow()
                    .replace("{{listen_addrs.front}}", ip + ":" + front);
            starts++;
            Path log = directory.resolve(name + "-" + starts + ".log");
            ProcessBuilder builder = new ProcessBuilder(command.split(" "));
            builder.environment().keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("HEATHERLOFT_NODE_FILE", settings.toString());
            process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
            note(name + " starts");
        }

        /** Returns the lines that the host has logged since its last start and that contain a text. */
        List<String> logLines(String text) throws IOException {
            Path log = directory.resolve(name + "-" + starts + ".log");
            try (var lines = Files.lines(log, StandardCharsets.ISO_8859_1)) {
                return lines.filter(line -> line.contains(text)).toList();
            }
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }

        void terminate() {
            note(name + " gets SIGTERM");
            process.destroy();
        }

        void awaitEnd(long millis) throws InterruptedException {
            if (process.waitFor(millis, TimeUnit.MILLISECONDS)) {
                note(name + " has ended with code " + process.exitValue());
            } else {
                note(name + " is killed at the end of its grace period");
                kill();
            }
        }

        void kill() {
            if (process != null) {
                try {
                    process.destroyForcibly().waitFor();
                } catch (InterruptedException interruption) {
                    Thread.currentThread().interrupt();
                }
            }
        }

        /** Returns the status of the balancer's question whether the host is ready; 0 without an answer. */
        int readyStatus() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, ready), 1_000);
                socket.setSoTimeout(1_000);
                socket.getOutputStream()
                        .write("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                Message head = readHead(new BufferedInputStream(socket.getInputStream()));
                return head == null ? 0 : head.status();
            } catch (IOException failure) {
                return 0;
            }
        }
    }

    private static boolean isFree(String ip, int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
            return socket.isBound();
        } catch (IOException failure) {
            return false;
        }
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    /** Creates hosts in zones a, b, c in turn, with the settings of a small deployment; starts none of them. */
    static List<Host> newHosts(int count, int storePort) throws IOException {
        return newHosts(count, storePort, "");
    }

    /**
     * Creates hosts as above.
     *
     * @param furtherContracts parts of the rules that are in force besides those of the small deployments
     */
    static List<Host> newHosts(int count, int storePort, String furtherContracts) throws IOException {
        Random random = new Random();
        List<String> ips = new ArrayList<>();
        while (ips.size() < count) {
            String ip = "127." + (1 + random.nextInt(250)) + "." + random.nextInt(250) + "." + (2 + random.nextInt(250));
            if (!ips.contains(ip) && isFree(ip, METRICS_PORT)) {
                ips.add(ip);
            }
        }
        List<Integer> controls = new ArrayList<>();
        for (String ip : ips) {
            controls.add(freePort(ip));
        }
        StringBuilder seeds = new StringBuilder();
        for (int index = 0; index < Math.min(3, count); index++) {
            seeds.append("  - \"").append(ips.get(index)).append(':').append(controls.get(index)).append("\"\n");
        }
        List<Host> hosts = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            String ip = ips.get(index);
            int front = freePort(ip);
            int ready = freePort(ip);
            String zone = "zone-" + (char) ('a' + index % 3);
            String name = "front-" + zone + "-" + (1 + index / 3);
            Path file = directory.resolve(name + ".yaml");
            Files.writeString(file, """
                    node_name: "%s"
                    role: "entry"
                    machine_class: "front"
                    serves: ["front", "control"]
                    ip: "%s"
                    zone: "%s"
                    region: "region"
                    zones: {zone-a: "region", zone-b: "region", zone-c: "region"}
                    listen_addrs:
                      front: "%s:%d"
                      ready: "%s:%d"
                      control: "%s:%d"
                    port_range: [%d, %d]
                    seed_nodes:
                    %sbootstrap: %s
                    loss_counts: false
                    limits: {cpu_share: 0.75, cpu_cores: 1, memory_mb: 430, max_fds: 4200, link_mbps: 1000.0, disk_mb: 0}
                    data_dir: null
                    discovery: "platform"
                    entry: "virtual_ip"
                    heartbeat_ms: 1200
                    contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", %s"platform", "rollout"]
                    fault_tolerance: {machines: 2, zones: 0, regions: 0}
                    bounds: {seed_lag_s: 3, addr_reuse_s: 2, stable_window_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000,
                      grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, downgrade_slack_ms: 250, max_stretch_ms: 5000,
                      revoke_strict: false, revoke_ms: 5000, retry_budget_ratio: 0.9, retry_window_s: 10, retry_slack: 52,
                      expose_share: 0.15, expose_slack: 30, rollback_ms: 5000, recovery_s: 12, pass_ms: 120, retry_after_s: 10,
                      session_s: 5}
                    platform: {address: "127.0.0.1:%d", form: "kv", writes_per_s: 400, reads_per_s: 2000, history_s: 20,
                      value_bytes: 1048576, ttl_min_ms: 1000}
                    """
                    .formatted(
                            name, ip, zone, ip, front, ip, ready, ip, controls.get(index), freePort(ip), 65_000, seeds,
                            "true", furtherContracts, storePort));
            hosts.add(new Host(name, ip, front, ready, file));
        }
        HOSTS.addAll(hosts);
        return hosts;
    }

    /** Waits until all hosts say that they are ready. */
    static void awaitReady(List<Host> hosts, long millis) {
        double end = now() + millis / 1e3;
        for (Host host : hosts) {
            while (host.readyStatus() != 200) {
                if (now() > end) {
                    throw new AssertionError(host.name() + " is not ready");
                }
                sleep(50);
            }
            note(host.name() + " is ready");
        }
    }

    /** A client connection. */
    static final class Client implements AutoCloseable {
        private final Socket socket = new Socket();
        private final InputStream in;

        Client(Host host) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(host.ip(), host.front()), 1_000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        Socket socket() {
            return socket;
        }

        InputStream in() {
            return in;
        }

        void send(String method, String path, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: a.example\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (body.length > 0 || method.equals("POST")) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            head.append("\r\n");
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            whole.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            whole.writeBytes(body);
            socket.getOutputStream().write(whole.toByteArray());
        }

        /** Reads a whole answer; null if the connection ends before it is complete. */
        Message receive(int timeoutMillis) throws IOException {
            socket.setSoTimeout(timeoutMillis);
            return readMessage(in);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Returns the entry of a runner in the store. */
    static String entry(String service, int port, String zone, String version, int slots, String state, int seq, long born) {
        return JSON.createObjectNode()
                .put("service", service)
                .put("address", "127.0.0.1:" + port)
                .put("zone", zone)
                .put("version", version)
                .put("slots", slots)
                .put("state", state)
                .put("cold_left_ms", 0)
                .put("seq", seq)
                .put("born", born)
                .toString();
    }

    /** Returns a configuration with a streamed, an idempotent and a non-idempotent route, as on the sheets. */
    static String configuration(int version) {
        return """
                {"version":%d,"routes":[
                {"name":"r-plan","host":"a.example","prefix":"/plan/","route_type":"stream","timeout_ms":25000,
                "objective_ms":3000,"priority":1,"service":"llm","max_attempts":3,"anonymous":false,
                "session_affinity":true,"stream_resume":true,"gap_target_ms":1000},
                {"name":"r-swap","host":"a.example","prefix":"/swap/","route_type":"non_idempotent",
                "objective_ms":100,"timeout_ms":4000,"priority":2,"service":"desk","max_attempts":1,"anonymous":false},
                {"name":"r-post","host":"a.example","prefix":"/post/","route_type":"idempotent",
                "objective_ms":100,"timeout_ms":4000,"priority":2,"service":"desk","max_attempts":2,"anonymous":false}],
                "services":[
                {"name":"llm","health_path":"/health","max_conns":360,"protocol":"h1","tls":false,
                "engine":{"slots":64,"kv_capacity_tokens":717826,"models":[{"name":"m0","cost":0.016}]}},
                {"name":"desk","health_path":"/health","max_conns":96,"protocol":"h1","tls":false}],
                "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
                "idle_timeout_ms":15000},
                "tenants":[{"name":"tenant-1","api_keys":["key-1"],"priority":1}]}
                """
                .formatted(version);
    }

    /** Returns the headers of a request to a plain service. */
    static Map<String, String> headers(String id, long deadlineMillis) {
        Map<String, String> headers = new java.util.LinkedHashMap<>();
        headers.put("X-Attempt-Id", id);
        headers.put("X-Deadline-Ms", String.valueOf(deadlineMillis));
        headers.put("Authorization", "Bearer key-1");
        return headers;
    }
}
