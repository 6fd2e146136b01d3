package io.heatherloft.entry;

import io.heatherloft.domain.route.ColdServerBound;
import io.heatherloft.platform.PlatformSettings;
import io.heatherloft.ports.http.SocketAddresses;
import io.heatherloft.router.http.CallerRequest;
import io.heatherloft.router.http.CallerServer;
import io.heatherloft.standins.platform.PlatformFixtures;
import io.heatherloft.standins.platform.RunnerStandIn;
import io.heatherloft.standins.platform.StandInLoop;
import io.heatherloft.standins.platform.StoreStandIn;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Runs entry hosts together with stand-ins of the platform, connected by loopback sockets.
 *
 * <p>The stand-ins run on their own event loop; tests access them through {@link #onLoop}.
 */
final class EntryHostHarness implements AutoCloseable {
    static final String API_KEY = "k1";
    private static final long WAIT_LIMIT_MILLIS = 20_000L;
    private static final long POLL_MILLIS = 10L;
    // Below the ports that Linux assigns to connections.
    private static final int FIRST_TEST_PORT = 20_000;
    private static final int LAST_TEST_PORT = 32_000;
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger((int) ProcessHandle.current().pid() * 97);
    private static final long BACKEND_RESTART_MILLIS = 200L;

    final StoreStandIn store;
    private final StandInLoop loop = new StandInLoop();
    private final List<EntryHost> hosts = new ArrayList<>();
    private final Map<String, RunnerStandIn> backends = new LinkedHashMap<>();
    private final Map<String, Integer> backendPorts = new LinkedHashMap<>();
    private final int storePort;
    long sessionIdleTimeoutMillis = 5_000L;
    Optional<ColdServerBound> coldBound = Optional.empty();
    boolean admissionControl;

    EntryHostHarness() {
        store = new StoreStandIn(loop.loop());
        storePort = loop.listen(store, 0);
        onLoop(() -> store.put("op/config", PlatformFixtures.configuration(1, API_KEY)));
    }

    /** Starts a backend server and registers it in the store. */
    RunnerStandIn startBackend(String service, String id, String version) {
        RunnerStandIn backend = new RunnerStandIn(loop.loop(), id, 8);
        backends.put(id, backend);
        backendPorts.put(id, loop.listen(backend, 0));
        onLoop(() -> store.put("servers/" + id, PlatformFixtures.backendEntry(service, backendPorts.get(id), version)));
        return backend;
    }

    /** Registers a backend server that listens at a port of the test's own. */
    void registerBackend(String service, String id, String version, int port) {
        onLoop(() -> store.put("servers/" + id, PlatformFixtures.backendEntry(service, port, version)));
    }

    /**
     * Starts a backend server that crashes while it runs certain requests, and that starts again under a new ID, at its old
     * address, shortly after each crash.
     */
    RunnerStandIn startBackendCrashingOn(Predicate<CallerRequest> crashing, String service, String id) {
        RunnerStandIn backend = new RunnerStandIn(loop.loop(), id, 8);
        AtomicReference<CallerServer> server = new AtomicReference<>(loop.newServer(backend));
        loop.listen(server.get(), 0).join();
        int port = server.get().port();
        AtomicInteger crashes = new AtomicInteger();
        onLoop(() -> {
            store.put("servers/" + id, PlatformFixtures.backendEntry(service, port, "v1"));
            backend.crashOn(crashing, () -> {
                server.get().stopAccepting();
                server.get().closeIdleConnections();
                int crash = crashes.incrementAndGet();
                loop.loop().schedule(BACKEND_RESTART_MILLIS, () -> {
                    store.delete("servers/" + (crash == 1 ? id : id + '-' + (crash - 1)));
                    backend.restartAs(id + '-' + crash);
                    server.set(loop.newServer(backend));
                    CompletableFuture<Void> _listening = loop.listen(server.get(), port);
                    store.put("servers/" + id + '-' + crash, PlatformFixtures.backendEntry(service, port, "v1"));
                });
            });
        });
        return backend;
    }

    int backendPort(String id) {
        return backendPorts.get(id);
    }

    /** Starts a host with the given seeds and waits until it is ready. */
    EntryHost startReadyHost(String name, int peerPort, List<Integer> seedPorts) {
        EntryHost host = startHost(name, peerPort, seedPorts);
        await(() -> isReady(host));
        return host;
    }

    EntryHost startHost(String name, int peerPort, List<Integer> seedPorts) {
        return startHost(name, peerPort, seedPorts, "127.0.0.1:0", EarlyListener.none());
    }

    EntryHost startHost(
            String name, int peerPort, List<Integer> seedPorts, String callerAddress, EarlyListener earlyListener) {
        return startHost(name, peerPort, seedPorts, callerAddress, earlyListener, SocketAddresses::parse);
    }

    /** Starts a host that reaches the backend servers through links, which can be cut. */
    EntryHost startHost(String name, int peerPort, List<Integer> seedPorts, ServerLinks links) {
        return startHost(name, peerPort, seedPorts, "127.0.0.1:0", EarlyListener.none(), links::addressOf);
    }

    private EntryHost startHost(
            String name,
            int peerPort,
            List<Integer> seedPorts,
            String callerAddress,
            EarlyListener earlyListener,
            Function<String, InetSocketAddress> serverAddresses) {
        PlatformSettings settings = new PlatformSettings(
                name,
                "127.0.0.1",
                "a",
                callerAddress,
                "127.0.0.1:0",
                Optional.of("127.0.0.1:" + peerPort),
                seedPorts.stream().map(port -> "127.0.0.1:" + port).toList(),
                "127.0.0.1:" + storePort,
                8_000L,
                sessionIdleTimeoutMillis,
                0.9,
                52,
                10_000L,
                2_000L,
                coldBound,
                admissionControl,
                0);
        EntryHost host = EntryHost.start(settings, EntryHost.newLogQueue(), earlyListener, 0, serverAddresses);
        hosts.add(host);
        return host;
    }

    boolean isReady(EntryHost host) {
        return get(host.readinessPort(), "/v1/ready").startsWith("HTTP/1.1 200");
    }

    /** Waits until a host knows a number of backend servers. */
    void awaitBackendCount(EntryHost host, int count) {
        await(() -> get(host.metricsPort(), "/metrics").contains("backend_servers_known " + count + ".0\n"));
    }

    String get(int port, String path) {
        return exchange(port, "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n");
    }

    /**
     * Sends a request and returns everything that is received until the connection is closed.
     *
     * <p>Returns a text that starts with "connection failed" if there is an I/O error.
     */
    static String exchange(int port, String request) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout((int) WAIT_LIMIT_MILLIS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException exception) {
            return "connection failed: " + exception.getMessage();
        }
    }

    String sendStreamRequest(EntryHost host, String id) {
        return exchange(host.callerPort(), withConnectionClose(PlatformFixtures.streamRequest(id, API_KEY)));
    }

    String sendPlainRequest(EntryHost host, String method, String path, String id) {
        return exchange(
                host.callerPort(), withConnectionClose(PlatformFixtures.plainRequest(method, path, id, API_KEY)));
    }

    static String withConnectionClose(String request) {
        return request.replaceFirst("\r\n", "\r\nConnection: close\r\n");
    }

    <T> T onLoop(Supplier<T> task) {
        return loop.call(task);
    }

    void onLoop(Runnable task) {
        loop.run(task);
    }

    /** Waits until a condition holds; fails if it does not hold within {@link #WAIT_LIMIT_MILLIS}. */
    void await(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + WAIT_LIMIT_MILLIS * 1_000_000L;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IllegalStateException("condition not met within " + WAIT_LIMIT_MILLIS + " ms");
            }
            try {
                Thread.sleep(POLL_MILLIS);
            } catch (InterruptedException exception) {
                throw new IllegalStateException(exception);
            }
        }
    }

    /** Returns a free port that the operating system does not assign to connections, so that it stays free. */
    static int freePort() {
        int range = LAST_TEST_PORT - FIRST_TEST_PORT;
        for (int attempt = 0; attempt < range; attempt++) {
            int port = FIRST_TEST_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), range);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException _inUse) {
                // The next port may be free.
            }
        }
        throw new IllegalStateException("no free port from " + FIRST_TEST_PORT + " to " + LAST_TEST_PORT);
    }

    @Override
    public void close() {
        hosts.forEach(EntryHost::shutdownNow);
        loop.close();
    }
}
