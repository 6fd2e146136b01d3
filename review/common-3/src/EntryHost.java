import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An entry host that runs as a child process with the command of the deploy file. */
final class EntryHost {
    private final Path root;
    private final Path directory;
    private final String name;
    private final String ip;
    private final int callerPort;
    private final int readyPort;
    private final int controlPort;
    private Process process;

    EntryHost(Path root, Path directory, String name, String ip) throws IOException {
        this.root = root;
        this.directory = directory;
        this.name = name;
        this.ip = ip;
        // Held until all are found, so that none is found twice.
        try (ServerSocket caller = new ServerSocket();
                ServerSocket ready = new ServerSocket();
                ServerSocket control = new ServerSocket()) {
            caller.bind(new InetSocketAddress(ip, 0));
            ready.bind(new InetSocketAddress(ip, 0));
            control.bind(new InetSocketAddress(ip, 0));
            callerPort = caller.getLocalPort();
            readyPort = ready.getLocalPort();
            controlPort = control.getLocalPort();
        }
    }

    InetSocketAddress callers() {
        return new InetSocketAddress(ip, callerPort);
    }

    String control() {
        return ip + ":" + controlPort;
    }

    /** Starts the process with the settings of a machine of a small deployment. */
    void start(String storeAddress, List<String> seeds, int graceSeconds) throws IOException {
        Path settings = directory.resolve(name + ".yaml");
        Files.writeString(settings, """
                node_name: "%s"
                role: "entry"
                machine_class: "front"
                serves: ["front", "control"]
                ip: "%s"
                zone: "skane-a"
                region: "skane"
                zones: { skane-a: "skane" }
                listen_addrs:
                  front: "%s:%d"
                  ready: "%s:%d"
                  control: "%s:%d"
                port_range: [0, 0]
                seed_nodes: [%s]
                bootstrap: true
                limits: { cpu_share: 0.75, cpu_cores: 1, memory_mb: 430, max_fds: 4200, link_mbps: 1000.0, disk_mb: 0 }
                heartbeat_ms: 1200
                contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "rollout"]
                bounds:
                  stable_window_ms: 3000
                  drain_ms: 2000
                  grace_s: %d
                  loss_slack_ms: 200
                  config_apply_ms: 2000
                  downgrade_slack_ms: 250
                  retry_budget_ratio: 0.9
                  retry_window_s: 10
                  retry_slack: 52
                  session_s: 5
                platform:
                  address: "%s"
                  form: "kv"
                  writes_per_s: 400
                  reads_per_s: 2000
                  history_s: 20
                  value_bytes: 1048576
                  ttl_min_ms: 1000
                """.formatted(
                        name,
                        ip,
                        ip,
                        callerPort,
                        ip,
                        readyPort,
                        ip,
                        controlPort,
                        String.join(", ", seeds.stream().map(seed -> '"' + seed + '"').toList()),
                        graceSeconds,
                        storeAddress));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file names no command");
        }
        List<String> command = new ArrayList<>(Arrays.asList(
                run.group(1).replace("{{listen_addrs.front}}", ip + ":" + callerPort).split(" ")));
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().clear();
        builder.environment().put("PATH", System.getenv("PATH"));
        builder.environment().put("HEATHERLOFT_NODE_FILE", settings.toString());
        process = builder.redirectErrorStream(true)
                .redirectOutput(directory.resolve(name + ".log").toFile())
                .start();
    }

    /** Waits until the host says that it is ready; returns false if it does not within the time. */
    boolean awaitReady(long millis) throws InterruptedException {
        long untilNanos = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < untilNanos) {
            if (readyStatus(1_000) == 200) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    /** Returns the status of the readiness check; 0 without an answer in time. */
    int readyStatus(int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, readyPort), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write(Http.ascii("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n"));
            Http.Head head = Http.readHead(socket.getInputStream());
            return head == null ? 0 : head.status();
        } catch (IOException failure) {
            return 0;
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the highest resident memory of the process so far, in MB; 0 if it is unknown. */
    long peakMemoryMegabytes() {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                if (line.startsWith("VmHWM:")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024;
                }
            }
        } catch (IOException failure) {
            return 0;
        }
        return 0;
    }

    List<String> logLines() throws IOException {
        return Files.readAllLines(directory.resolve(name + ".log"));
    }

    /** Sends a signal, such as TERM, STOP or CONT, to the process. */
    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
    }

    /** Ends the process at once, if it runs. */
    void kill() {
        if (process != null) {
            process.destroyForcibly().onExit().join();
        }
    }
}
