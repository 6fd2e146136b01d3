import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** A small deployment on loopback addresses: the store, the runners of a service and entry hosts. */
final class Fleet implements AutoCloseable {
    final Recorder record;
    final StoreStandIn store;
    final List<EntryHost> hosts = new ArrayList<>();
    private final Path directory;
    private final String network;

    Fleet(String[] arguments, int hostCount) throws IOException {
        Path root = Path.of(arguments[0]);
        record = new Recorder(Path.of(arguments[1]));
        directory = Files.createTempDirectory("review-3-");
        Random random = new Random();
        // The metrics port of the deploy file is fixed, so each host has an address of its own.
        network = "127." + (16 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
        store = new StoreStandIn("127.0.0.1");
        for (int index = 1; index <= hostCount; index++) {
            hosts.add(new EntryHost(root, directory, "front-" + index, network + index));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> hosts.forEach(EntryHost::kill)));
    }

    /** Returns true unless the case is run without its disruption. */
    static boolean hasTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** A configuration with the limits of the platform's example, in which the desk has one idempotent route and one other. */
    static String configuration(long version, String moreRoutes) {
        return """
                {"version":%d,"routes":[%s
                {"name":"bookings","host":"a.example","prefix":"/bookings/","route_type":"non_idempotent",
                "timeout_ms":20000,"objective_ms":100,"priority":2,"service":"desk","max_attempts":1,"anonymous":false},
                {"name":"lookups","host":"a.example","prefix":"/lookups/","route_type":"idempotent",
                "timeout_ms":20000,"objective_ms":100,"priority":2,"service":"desk","max_attempts":2,"anonymous":false}],
                "services":[{"name":"desk","health_path":"/health","max_conns":360,"protocol":"h1","tls":false}],
                "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
                "idle_timeout_ms":15000},
                "tenants":[{"name":"lund","api_keys":["key-1"],"priority":1}]}"""
                .formatted(version, moreRoutes);
    }

    /** Returns routes as an operator adds them. */
    static String addedRoutes(int count) {
        StringBuilder routes = new StringBuilder();
        for (int route = 0; route < count; route++) {
            routes.append("{\"name\":\"r-")
                    .append(Integer.toString(1_000_000 + route, 36))
                    .append("\",\"host\":\"ficu")
                    .append(route % 90)
                    .append(".example\",\"prefix\":\"/added")
                    .append(route)
                    .append("/\",\"route_type\":\"idempotent\",\"timeout_ms\":600,\"objective_ms\":100,\"priority\":2,"
                            + "\"service\":\"desk\",\"max_attempts\":2,\"anonymous\":false,"
                            + "\"session_affinity\":false},\n");
        }
        return routes.toString();
    }

    void startHosts() throws IOException, InterruptedException {
        startHosts(store.address());
    }

    /** Starts the hosts; the first one reaches the store at another address. */
    void startHosts(String firstStoreAddress) throws IOException, InterruptedException {
        List<String> seeds = hosts.stream().map(EntryHost::control).toList();
        for (EntryHost host : hosts) {
            host.start(host.equals(hosts.get(0)) ? firstStoreAddress : store.address(), seeds, 8);
        }
        for (EntryHost host : hosts) {
            if (!host.awaitReady(15_000)) {
                throw new IOException("a host did not become ready");
            }
        }
        record.say("hosts ready");
    }

    @Override
    public void close() throws IOException {
        hosts.forEach(EntryHost::kill);
        if (System.getenv("KEEP_LOGS") == null) {
            try (var files = Files.list(directory)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(directory);
        } else {
            System.out.println("logs in " + directory);
        }
        record.close();
    }
}
