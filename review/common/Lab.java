package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
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
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the platform's store and runners as stand-ins, and entry hosts as child processes
 * started by the command in {@code deploy/system.toml}.
 *
 * <p>Everything that was sent, answered and run goes to {@code record.txt}. All child processes are killed when the program ends.
 * Safe for use by several threads.
 */
final class Lab implements AutoCloseable {
    /** Exit code if the rule held. */
    static final int HELD = 0;
    /** Exit code if the rule was broken. */
    static final int BROKEN = 1;
    /** Exit code if the case could not run. */
    static final int NOT_RUN = 2;

    static final String KEY = "review-key";
    static final String TENANT = "malmo";
    static final String HOST_NAME = "a.example";

    private static final int METRICS_PORT = 9_464;
    private static final long START_TIMEOUT_MILLIS = 30_000L;

    /** False if the case is to run without its disruption. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    final Store store;
    private final Path root;
    private final Path temporary;
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();
    private final List<Host> hosts = new CopyOnWriteArrayList<>();
    private final List<AutoCloseable> closeables = new CopyOnWriteArrayList<>();

    /** The steps of a case. */
    @FunctionalInterface
    interface Steps {
        /** Runs the case; returns true if the rule was broken. */
        boolean run(Lab lab) throws Exception;
    }

    /** Runs a case and exits. Arguments: root of the repository, folder of the case. */
    static void main(String[] arguments, Steps steps) {
        int exitCode = NOT_RUN;
        try (Lab lab = new Lab(Path.of(arguments[0]), Path.of(arguments[1]))) {
            Thread watchdog = new Thread(() -> {
                sleep(112_000);
                lab.note("the case took too long");
                lab.close();
                Runtime.getRuntime().halt(NOT_RUN);
            });
            watchdog.setDaemon(true);
            watchdog.start();
            try {
                lab.note(lab.trouble ? "with the disruption" : "TROUBLE=0: without the disruption");
                exitCode = steps.run(lab) ? BROKEN : HELD;
                lab.note(exitCode == BROKEN ? "RESULT: rule broken" : "RESULT: rule held");
            } catch (Exception exception) {
                lab.note("RESULT: could not run: " + exception);
                exception.printStackTrace();
            }
        } catch (IOException exception) {
            exception.printStackTrace();
        }
        Runtime.getRuntime().halt(exitCode);
    }

    private Lab(Path root, Path caseFolder) throws IOException {
        this.root = root;
        this.temporary = Files.createTempDirectory("review");
        this.out = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        this.store = new Store(this);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Writes a line to the record. */
    synchronized void note(String line) {
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        out.printf(Locale.ROOT, "%7d ms  %s%n", millis, line);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    static void inBackground(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    void closeAtEnd(AutoCloseable closeable) {
        closeables.add(closeable);
    }

    /** Starts a host and waits until it is ready. */
    Host startHost(String name) throws IOException {
        Host host = new Host(name);
        hosts.add(host);
        host.awaitReady();
        return host;
    }

    /** Returns a configuration with routes to the service {@code desk}; limits as on the users' wire page. */
    static String configuration(long version) {
        return configuration(version, 4_000, 400, 4_194_304);
    }

    static String configuration(long version, long timeoutMillis, long objectiveMillis, long maxBodyBytes) {
        return ("{'version':%d,'routes':["
                        + "{'name':'bookings','host':'a.example','prefix':'/bookings/','route_type':'non_idempotent',"
                        + "'timeout_ms':%d,'objective_ms':%d,'priority':2,'service':'desk','max_attempts':1,"
                        + "'anonymous':false},"
                        + "{'name':'lookups','host':'a.example','prefix':'/lookups/','route_type':'idempotent',"
                        + "'timeout_ms':%d,'objective_ms':%d,'priority':2,'service':'desk','max_attempts':2,"
                        + "'anonymous':false}],"
                        + "'services':[{'name':'desk','health_path':'/health','max_conns':360,'protocol':'h1','tls':false}],"
                        + "'limits':{'max_header_bytes':16384,'max_body_bytes':%d,'header_timeout_ms':3000,"
                        + "'idle_timeout_ms':15000},"
                        + "'tenants':[{'name':'%s','api_keys':['%s'],'priority':1}]}")
                .formatted(
                        version,
                        timeoutMillis,
                        objectiveMillis,
                        timeoutMillis,
                        objectiveMillis,
                        maxBodyBytes,
                        TENANT,
                        KEY)
                .replace('\'', '"');
    }

    @Override
    public void close() {
        hosts.forEach(Host::kill);
        closeables.forEach(closeable -> {
            try {
                closeable.close();
            } catch (Exception exception) {
                note("not closed: " + exception);
            }
        });
        store.close();
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException exception) {
            // The folder has been deleted already.
            return;
        }
    }

    // ------------------------------------------------------------------------------------------------ entry host

    /** An entry host in a child process. */
    final class Host {
        private final String name;
        private final String ip;
        private final int front;
        private final int ready;
        private final int control;
        private final Process process;

        private Host(String name) throws IOException {
            this.name = name;
            this.ip = freeAddress();
            List<Integer> ports = freePorts(ip, 4);
            this.front = ports.get(0);
            this.ready = ports.get(1);
            this.control = ports.get(2);
            int shared = ports.get(3);
            Path settings = temporary.resolve(name + ".yaml");
            Files.writeString(settings, settings(shared));
            List<String> command = Arrays.asList(deployCommand()
                    .replace("{{listen_addrs.front}}", ip + ":" + front)
                    .split(" "));
            ProcessBuilder builder = new ProcessBuilder(command)
                    .directory(root.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(temporary.resolve(name + ".log").toFile());
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("HEATHERLOFT_NODE_FILE", settings.toString());
            this.process = builder.start();
            note("host " + name + " started, process " + process.pid());
        }

        // The first three hosts, like the platform's settings; this one is among the hosts if it is one of them.
        private String seeds() {
            return Stream.concat(hosts.stream().map(Host::controlAddress), Stream.of(controlAddress()))
                    .distinct()
                    .limit(3)
                    .map(address -> '"' + address + '"')
                    .collect(Collectors.joining(", "));
        }

        private String controlAddress() {
            return ip + ":" + control;
        }

        private String settings(int shared) {
            return """
                    node_name: "%s"
                    role: "entry"
                    machine_class: "front"
                    serves:
                      - "front"
                      - "control"
                    ip: "%s"
                    zone: "skane-a"
                    region: "skane"
                    zones:
                      skane-a: "skane"
                    listen_addrs:
                      front: "%s:%d"
                      ready: "%s:%d"
                      control: "%s:%d"
                    port_range:
                      - %d
                      - %d
                    seed_nodes: [%s]
                    bootstrap: true
                    loss_counts: false
                    limits:
                      cpu_share: 0.75
                      cpu_cores: 1
                      memory_mb: 430
                      max_fds: 4200
                      link_mbps: 1000.0
                      disk_mb: 0
                    data_dir: null
                    discovery: "platform"
                    entry: "virtual_ip"
                    heartbeat_ms: 1200
                    bounds:
                      stable_window_ms: 3000
                      drain_ms: 2000
                      grace_s: 8
                      loss_slack_ms: 200
                      config_apply_ms: 2000
                      retry_budget_ratio: 0.9
                      retry_window_s: 10
                      retry_slack: 52
                      recovery_s: 12
                      session_s: 5
                    platform:
                      address: "127.0.0.1:%d"
                      form: "kv"
                      writes_per_s: 400
                      reads_per_s: 2000
                      history_s: 20
                      value_bytes: 1048576
                      ttl_min_ms: 1000
                    """
                    .formatted(
                            name, ip, ip, front, ip, ready, ip, control, shared, shared, seeds(), store.port());
        }

        Socket connect() throws IOException {
            Socket socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(ip, front), 1_000);
            return socket;
        }

        InetSocketAddress address() {
            return new InetSocketAddress(ip, front);
        }

        private void awaitReady() throws IOException {
            long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MILLIS);
            while (System.nanoTime() < deadline && process.isAlive()) {
                if (isReady()) {
                    note("host " + name + " is ready");
                    return;
                }
                sleep(100);
            }
            noteLog("", 20);
            throw new IllegalStateException("host " + name + " did not become ready"
                    + (process.isAlive() ? "" : ", exit code " + process.exitValue()));
        }

        boolean isReady() {
            try (Socket socket = new Socket(ip, ready)) {
                socket.setSoTimeout(1_000);
                socket.getOutputStream()
                        .write(("GET /v1/ready HTTP/1.1\r\nHost: " + ip + "\r\nContent-Length: 0\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
                return Message.read(new BufferedInputStream(socket.getInputStream())).status() == 200;
            } catch (IOException exception) {
                return false;
            }
        }

        String name() {
            return name;
        }

        boolean isAlive() {
            return process.isAlive();
        }

        int exitCode() {
            return process.exitValue();
        }

        void signal(String signalName) throws IOException {
            note("host " + name + ": SIG" + signalName);
            Process kill = new ProcessBuilder("kill", "-" + signalName, String.valueOf(process.pid())).start();
            try {
                kill.waitFor();
            } catch (InterruptedException exception) {
                throw new IllegalStateException(exception);
            }
        }

        /** Returns the host's log. */
        String log() throws IOException {
            return Files.readString(temporary.resolve(name + ".log"));
        }

        /** Writes those lines of the host's log to the record that contain a text. */
        void noteLog(String text, int limit) throws IOException {
            log().lines().filter(line -> line.contains(text)).limit(limit).forEach(line -> note("log of " + name + ": " + line));
        }

        void kill() {
            process.destroyForcibly();
        }
    }

    private String deployCommand() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IllegalStateException("deploy/system.toml has no run command");
        }
        return run.group(1);
    }

    // The metrics port is fixed, so the host needs a loopback address on which it is free.
    private static String freeAddress() throws IOException {
        Random random = new Random();
        for (int attempt = 0; attempt < 100; attempt++) {
            String ip = "127." + (1 + random.nextInt(250)) + "." + random.nextInt(250) + ".2";
            try (ServerSocket socket = new ServerSocket(METRICS_PORT, 1, InetAddress.getByName(ip))) {
                return ip;
            } catch (IOException exception) {
                continue;
            }
        }
        throw new IOException("no free loopback address");
    }

    // All are held until the last is found, so that they differ.
    private static List<Integer> freePorts(String ip, int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            for (int index = 0; index < count; index++) {
                sockets.add(new ServerSocket(0, 1, InetAddress.getByName(ip)));
            }
            return sockets.stream().map(ServerSocket::getLocalPort).collect(Collectors.toList());
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
    }

    // ---------------------------------------------------------------------------------------------- HTTP messages

    /** An HTTP/1.1 message, read whole. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {
        static Message read(InputStream in) throws IOException {
            String head = readHead(in);
            String[] lines = head.split("\r\n");
            Map<String, String> headers = new LinkedHashMap<>();
            Stream.of(lines).skip(1).forEach(line -> {
                int colon = line.indexOf(':');
                headers.putIfAbsent(
                        line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
            });
            byte[] body;
            if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
                body = readChunks(in);
            } else {
                int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
                body = in.readNBytes(length);
                if (body.length < length) {
                    throw new IOException("closed after " + body.length + " of " + length + " bytes of the body");
                }
            }
            return new Message(lines[0], headers, body);
        }

        static String readHead(InputStream in) throws IOException {
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            int matched = 0;
            while (matched < 4) {
                int next = in.read();
                if (next < 0) {
                    throw new IOException("closed after " + head.size() + " bytes of the head");
                }
                head.write(next);
                matched = next == "\r\n\r\n".charAt(matched) ? matched + 1 : next == '\r' ? 1 : 0;
            }
            return head.toString(StandardCharsets.ISO_8859_1);
        }

        private static byte[] readChunks(InputStream in) throws IOException {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(readLine(in), 16);
                body.write(in.readNBytes(size));
                readLine(in);
                if (size == 0) {
                    return body.toByteArray();
                }
            }
        }

        private static String readLine(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    throw new IOException("closed inside a chunked body");
                }
                line.append((char) next);
            }
            return line.toString().trim();
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** Returns a request of a client as bytes. */
    static byte[] request(String method, String path, String id, long deadlineMillis, byte[] body) {
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + HOST_NAME + "\r\nX-Attempt-Id: " + id
                + "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\nAuthorization: Bearer " + KEY + "\r\nContent-Length: "
                + body.length + "\r\n\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = Arrays.copyOf(headBytes, headBytes.length + body.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        return all;
    }

    // ----------------------------------------------------------------------------------------------------- runner

    /** What a runner does with a request. */
    @FunctionalInterface
    interface Behaviour {
        /** Serves a request; returns false to close the connection. */
        boolean serve(Message request, OutputStream out) throws IOException;
    }

    /** Stand-in for a runner. One thread for each connection. */
    final class Runner implements AutoCloseable {
        final String id;
        private final ServerSocket listening;
        private final Behaviour behaviour;

        Runner(String id, Behaviour behaviour) throws IOException {
            this.id = id;
            this.behaviour = behaviour;
            this.listening = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
            closeAtEnd(this);
            inBackground(this::accept);
        }

        /** Registers the runner in the store; it has more slots than there are clients, so that it is never full. */
        void register(String service, String state, int sequence) {
            register(service, state, sequence, 256);
        }

        /** Registers the runner in the store, with a number of slots that its behaviour keeps to. */
        void register(String service, String state, int sequence, int slots) {
            store.put(
                    "servers/" + id,
                    ("{'service':'%s','address':'127.0.0.1:%d','zone':'skane-a','version':'v1','slots':%d,'state':'%s',"
                                    + "'cold_left_ms':0,'seq':%d,'born':1772662159541}")
                            .formatted(service, listening.getLocalPort(), slots, state, sequence)
                            .replace('\'', '"'));
        }

        private void accept() {
            while (!listening.isClosed()) {
                try {
                    Socket socket = listening.accept();
                    inBackground(() -> serve(socket));
                } catch (IOException exception) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream response = socket.getOutputStream();
                boolean open = true;
                while (open) {
                    open = behaviour.serve(Message.read(in), response);
                }
            } catch (IOException exception) {
                // The host has closed the connection.
                return;
            }
        }

        @Override
        public void close() throws IOException {
            listening.close();
        }
    }

    /** Returns a complete response of a runner as text. */
    static String response(String statusLine, String id, String extraHeaders, String body) {
        return "HTTP/1.1 " + statusLine + "\r\n" + extraHeaders + "X-Attempt-Id: " + id
                + "\r\nKeep-Alive: timeout=5\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    // ------------------------------------------------------------------------------------------------------ store

    /** Stand-in for the platform's store: linearizable, without faults. */
    static final class Store implements AutoCloseable {
        private static final Pattern CONDITION =
                Pattern.compile("\\{\"key\":\"([^\"]*)\",\"revision\":(\\d+)\\}");
        private static final Pattern PUT = Pattern.compile("\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\"");

        private record Item(String key, String base64, long revision, long created) {
            String json() {
                return "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"created_rev\":%d,\"lease\":0}"
                        .formatted(key, base64, revision, created);
            }
        }

        private record Change(String key, long revision, String json) {}

        private final Lab lab;
        private final HttpServer server;
        private final TreeMap<String, Item> items = new TreeMap<>();
        private final List<Change> changes = new ArrayList<>();
        private long revision = 1;
        private boolean silent;
        private long silences;

        private Store(Lab lab) throws IOException {
            this.lab = lab;
            server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 64);
            server.setExecutor(Executors.newCachedThreadPool(task -> {
                Thread thread = new Thread(task);
                thread.setDaemon(true);
                return thread;
            }));
            server.createContext("/", this::handle);
            server.start();
        }

        int port() {
            return server.getAddress().getPort();
        }

        synchronized long put(String key, String value) {
            String base64 = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
            putEncoded(key, base64);
            lab.note("store: " + key + " written, revision " + revision);
            return revision;
        }

        private void putEncoded(String key, String base64) {
            revision++;
            long created = items.containsKey(key) ? items.get(key).created() : revision;
            Item item = new Item(key, base64, revision, created);
            items.put(key, item);
            changes.add(new Change(key, revision, item.json()));
            notifyAll();
        }

        synchronized void delete(String key) {
            if (items.remove(key) != null) {
                revision++;
                changes.add(new Change(
                        key, revision, "{\"key\":\"%s\",\"revision\":%d,\"deleted\":true}".formatted(key, revision)));
                lab.note("store: " + key + " removed, revision " + revision);
                notifyAll();
            }
        }

        /**
         * Makes the store silent: calls that wait and calls that come get no response, and their connections return nothing
         * further, also not after the end of the silence.
         */
        synchronized void setSilent(boolean nowSilent) {
            lab.note(nowSilent ? "store: silent" : "store: answers again");
            silent = nowSilent;
            silences += nowSilent ? 1 : 0;
            notifyAll();
        }

        private synchronized boolean isSilent() {
            return silent;
        }

        private static void loseResponse() throws InterruptedException {
            Thread.sleep(Long.MAX_VALUE);
        }

        private void handle(HttpExchange exchange) throws IOException {
            try {
                if (isSilent()) {
                    loseResponse();
                }
                answer(exchange);
            } catch (InterruptedException exception) {
                throw new IOException(exception);
            }
        }

        private void answer(HttpExchange exchange) throws IOException, InterruptedException {
            Map<String, String> query = Stream.of(
                            (exchange.getRequestURI().getRawQuery() == null ? "" : exchange.getRequestURI().getRawQuery())
                                    .split("&"))
                    .map(pair -> pair.split("=", 2))
                    .collect(Collectors.toMap(
                            pair -> pair[0],
                            pair -> pair.length < 2
                                    ? ""
                                    : java.net.URLDecoder.decode(pair[1], StandardCharsets.UTF_8),
                            (first, second) -> first));
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            String path = exchange.getRequestURI().getPath();
            switch (path) {
                case "/v1/kv-range" -> reply(exchange, 200, range(query.getOrDefault("prefix", "")));
                case "/v1/kv-watch" -> watch(exchange, query);
                case "/v1/kv-txn" -> transact(exchange, body);
                case "/v1/kv-key" -> key(exchange, query.getOrDefault("key", ""));
                default -> reply(exchange, 404, "{}");
            }
        }

        private synchronized String range(String prefix) {
            return "{\"items\":["
                    + items.values().stream()
                            .filter(item -> item.key().startsWith(prefix))
                            .map(Item::json)
                            .collect(Collectors.joining(","))
                    + "],\"more_pages\":false,\"store_revision\":" + revision + "}";
        }

        private void watch(HttpExchange exchange, Map<String, String> query) throws IOException, InterruptedException {
            String response = awaitEvents(query);
            if (response.isEmpty()) {
                loseResponse();
            }
            reply(exchange, 200, response);
        }

        // Returns nothing if the store has become silent meanwhile.
        private synchronized String awaitEvents(Map<String, String> query) throws InterruptedException {
            long silencesBefore = silences;
            long after = Long.parseLong(query.get("after"));
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(query.get("wait_ms")));
            String events = eventsAfter(query.getOrDefault("prefix", ""), after);
            while (events.isEmpty() && System.nanoTime() < end && silences == silencesBefore) {
                wait(Math.max(1, TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())));
                events = eventsAfter(query.getOrDefault("prefix", ""), after);
            }
            return silences == silencesBefore
                    ? "{\"events\":[" + events + "],\"store_revision\":" + revision + "}"
                    : "";
        }

        private String eventsAfter(String prefix, long after) {
            return changes.stream()
                    .filter(change -> change.revision() > after && change.key().startsWith(prefix))
                    .map(Change::json)
                    .collect(Collectors.joining(","));
        }

        private synchronized void transact(HttpExchange exchange, String body) throws IOException {
            int sets = body.indexOf("\"set_keys\"");
            Matcher condition = CONDITION.matcher(body.substring(0, sets));
            while (condition.find()) {
                Item known = items.get(condition.group(1));
                if ((known == null ? 0 : known.revision()) != Long.parseLong(condition.group(2))) {
                    reply(exchange, 412, "{\"items\":[" + (known == null ? "" : known.json()) + "]}");
                    return;
                }
            }
            Matcher put = PUT.matcher(body.substring(sets));
            while (put.find()) {
                putEncoded(put.group(1), put.group(2));
                lab.note("store: a host wrote " + put.group(1));
            }
            reply(exchange, 200, "{\"revision\":" + revision + "}");
        }

        private synchronized void key(HttpExchange exchange, String key) throws IOException {
            Item item = items.get(key);
            reply(exchange, item == null ? 404 : 200, item == null ? "{}" : item.json());
        }

        private void reply(HttpExchange exchange, int status, String json) throws IOException {
            byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
            exchange.close();
        }

        @Override
        public void close() {
            server.stop(0);
        }
    }
}
