package io.heatherloft.soak;

import io.heatherloft.standins.platform.ClosingServerStandIn;
import io.heatherloft.standins.platform.PlatformFixtures;
import io.heatherloft.standins.platform.RunnerStandIn;
import io.heatherloft.standins.platform.StandInLoop;
import io.heatherloft.standins.platform.StoreStandIn;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * The system under test: stand-ins for the platform's store and backend servers, each behind a fault-injecting proxy,
 * and entry hosts in child processes.
 *
 * <p>The stand-ins and proxies are confined to an event loop and must be accessed through {@link #runOnLoop};
 * everything else is confined to one thread.
 */
final class SoakFleet implements AutoCloseable {
    static final String API_KEY = "k1";
    static final int EVENTS_PER_STREAM = 8;
    /** Prompt part on which the engines crash. */
    static final String CRASHING_PART = "bad00bad";

    /** Target of the booking on which the servers of its service crash. */
    static final String CRASHING_TARGET = "/bookings/crash";

    private static final String CLOSING_SERVER = "llm-closing";
    private static final long ENTRY_REMOVAL_MILLIS = 200L;
    private static final long RESTART_MILLIS = 500L;
    private static final int SHUTDOWN_GRACE_SECONDS = 4;
    // Must match deploy/system.toml.
    private static final int METRICS_PORT = 9_464;

    private final StandInLoop loop = new StandInLoop();
    private final StoreStandIn store = new StoreStandIn(loop.loop());
    private final Map<String, RunnerStandIn> backends = new LinkedHashMap<>();
    private final Map<String, FaultProxy> proxies = new LinkedHashMap<>();
    private final List<HostProcess> hosts = new ArrayList<>();
    private final Map<String, Integer> startsOfBackends = new HashMap<>();
    private final ClosingServerStandIn closingServer =
            new ClosingServerStandIn(StreamBody.withEvents(EVENTS_PER_STREAM));
    private int configurationVersion = 1;

    /** Starts a fleet of this build. */
    SoakFleet(Path directory, int hostCount) {
        this(directory, hostCount, List.of(System.getProperty("java.class.path")));
    }

    /**
     * Starts a fleet.
     *
     * @param builds class paths of the builds that each host runs, one after the other; neighbours begin with different ones
     */
    SoakFleet(Path directory, int hostCount, List<String> builds) {
        FaultProxy storeProxy = new FaultProxy(loop.group(), loop.loop(), loop.listen(store, 0));
        proxies.put("store", storeProxy);
        runOnLoop(() -> store.putConfiguration(PlatformFixtures.configuration(configurationVersion, API_KEY)));
        List.of("llm-1", "llm-2", "desk-1", "desk-2", "desk-3").forEach(this::startBackend);
        List<String> ips = freeLoopbackAddresses(hostCount);
        List<String> peers = ips.stream().map(SoakFleet::withFreePort).toList();
        IntStream.range(0, hostCount)
                .forEach(index ->
                        hosts.add(newHost(directory, ips.get(index), index, peers, storeProxy.port(), builds)));
        hosts.forEach(HostProcess::start);
    }

    private void startBackend(String id) {
        RunnerStandIn backend = new RunnerStandIn(loop.loop(), id, EVENTS_PER_STREAM);
        backend.crashOn(
                request -> RunnerStandIn.isPromptPart(CRASHING_PART, request)
                        || request.target().equals(CRASHING_TARGET),
                () -> restartSoon(id));
        FaultProxy proxy = new FaultProxy(loop.group(), loop.loop(), loop.listen(backend, 0));
        backends.put(id, backend);
        proxies.put(id, proxy);
        registerBackend(id);
    }

    // The entry of a crashed server is removed, and written again when the server has started.
    private void restartSoon(String id) {
        int starts = startsOfBackends.merge(id, 1, Integer::sum);
        loop.loop().schedule(ENTRY_REMOVAL_MILLIS, () -> store.deleteBackend(id));
        loop.loop().schedule(RESTART_MILLIS, () -> {
            backends.get(id).restartAs(id);
            store.putBackend(
                    id,
                    PlatformFixtures.backendEntry(serviceOf(id), proxies.get(id).port(), "v1", starts));
        });
    }

    private static String serviceOf(String id) {
        return id.substring(0, id.indexOf('-'));
    }

    /** Starts or stops a server whose streams end with their connection. */
    void setClosingServer(boolean started) {
        runOnLoop(() -> {
            if (started) {
                store.putBackend(CLOSING_SERVER, PlatformFixtures.backendEntry("llm", closingServer.port(), "v1"));
            } else {
                store.deleteBackend(CLOSING_SERVER);
            }
        });
    }

    /** Ends the server whose streams end with their connection, for hosts that don't know that it has left, too. */
    void endClosingServer() {
        setClosingServer(false);
        closingServer.close();
    }

    /** Registers a backend server in the store. */
    void registerBackend(String id) {
        runOnLoop(() -> store.putBackend(
                id,
                PlatformFixtures.backendEntry(
                        serviceOf(id), proxies.get(id).port(), "v1", startsOfBackends.getOrDefault(id, 0))));
    }

    /** Removes a backend server's registration from the store. */
    void deregisterBackend(String id) {
        runOnLoop(() -> store.deleteBackend(id));
    }

    /** Stores the same configuration under the next version number. */
    void publishNextConfiguration() {
        configurationVersion++;
        runOnLoop(() -> store.putConfiguration(PlatformFixtures.configuration(configurationVersion, API_KEY)));
    }

    // The metrics port is fixed, so concurrent runs need distinct loopback addresses. Returns addresses on which the
    // metrics port is free.
    private static List<String> freeLoopbackAddresses(int count) {
        Random random = new Random();
        return Stream.generate(() -> "127." + (1 + random.nextInt(254)) + '.' + random.nextInt(255) + ".2")
                .filter(SoakFleet::isMetricsPortFree)
                .distinct()
                .limit(count)
                .toList();
    }

    private static boolean isMetricsPortFree(String ip) {
        try (ServerSocket _socket = new ServerSocket(METRICS_PORT, 1, InetAddress.getByName(ip))) {
            return true;
        } catch (IOException _exception) {
            return false;
        }
    }

    private static HostProcess newHost(
            Path directory, String ip, int index, List<String> peers, int storePort, List<String> builds) {
        String callerAddress = withFreePort(ip);
        String settings = PlatformFixtures.hostSettings(
                index, ip, callerAddress, withFreePort(ip), peers, SHUTDOWN_GRACE_SECONDS, storePort);
        List<String> buildsOfHost = new ArrayList<>(builds);
        Collections.rotate(buildsOfHost, index);
        return new HostProcess(directory, "host-" + index, callerAddress, settings, buildsOfHost);
    }

    private static String withFreePort(String ip) {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return ip + ":" + socket.getLocalPort();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    List<HostProcess> hosts() {
        return hosts;
    }

    StoreStandIn store() {
        return store;
    }

    Map<String, RunnerStandIn> backends() {
        return backends;
    }

    Map<String, FaultProxy> proxies() {
        return proxies;
    }

    void runOnLoop(Runnable task) {
        loop.run(task);
    }

    @Override
    public void close() {
        hosts.stream().filter(HostProcess::isAlive).forEach(host -> {
            try {
                host.kill();
            } catch (InterruptedException _exception) {
                Thread.currentThread().interrupt();
            }
        });
        closingServer.close();
        loop.close();
    }
}
