package io.heatherloft.soak;

import io.heatherloft.standins.platform.PlatformExample;
import io.heatherloft.standins.platform.RunnerStandIn;
import io.heatherloft.standins.platform.StandInLoop;
import io.heatherloft.standins.platform.StoreStandIn;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * The stand-ins of a platform, with faulty links before them, and entry hosts as processes.
 *
 * <p>The stand-ins and links are confined to a loop, reached by {@link #runOnLoop}; the rest to one thread.
 */
final class SoakFleet implements AutoCloseable {
    static final String API_KEY = "k1";
    static final int EVENTS_PER_STREAM = 8;
    private static final int SHUTDOWN_GRACE_SECONDS = 4;
    // As in deploy/system.toml.
    private static final int METRICS_PORT = 9_464;

    private final StandInLoop loop = new StandInLoop();
    private final StoreStandIn store = new StoreStandIn(loop.loop());
    private final Map<String, RunnerStandIn> backends = new LinkedHashMap<>();
    private final Map<String, FaultProxy> proxies = new LinkedHashMap<>();
    private final List<HostProcess> hosts = new ArrayList<>();
    private int configurationVersion = 1;

    SoakFleet(Path directory, int hostCount) {
        FaultProxy storeLink = new FaultProxy(loop.group(), loop.loop(), loop.listen(store, 0));
        proxies.put("store", storeLink);
        runOnLoop(() -> store.putConfiguration(PlatformExample.configuration(configurationVersion, API_KEY)));
        List.of("llm-1", "llm-2", "desk-1", "desk-2", "desk-3").forEach(this::startBackend);
        List<String> numbers = freeLoopbackAddresses(hostCount);
        List<String> peers = numbers.stream().map(SoakFleet::withFreePort).toList();
        IntStream.range(0, hostCount)
                .forEach(host -> hosts.add(newHost(directory, numbers.get(host), host, peers, storeLink.port())));
        hosts.forEach(HostProcess::start);
    }

    private void startBackend(String id) {
        RunnerStandIn backend = new RunnerStandIn(loop.loop(), id, EVENTS_PER_STREAM);
        FaultProxy link = new FaultProxy(loop.group(), loop.loop(), loop.listen(backend, 0));
        backends.put(id, backend);
        proxies.put(id, link);
        registerBackend(id);
    }

    /** Writes a backend server's entry into the store. */
    void registerBackend(String id) {
        String service = id.substring(0, id.indexOf('-'));
        runOnLoop(() -> store.putBackend(
                id, PlatformExample.backend(service, proxies.get(id).port(), "v1")));
    }

    /** Takes a backend server's entry out of the store. */
    void deregisterBackend(String id) {
        runOnLoop(() -> store.deleteBackend(id));
    }

    /** Writes the configuration anew, under the next version. */
    void publishNextConfiguration() {
        configurationVersion++;
        runOnLoop(() -> store.putConfiguration(PlatformExample.configuration(configurationVersion, API_KEY)));
    }

    // Loopback numbers at which the port of the metrics, which is fixed, is free; other runs may go on beside this one.
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

    private static HostProcess newHost(Path directory, String ip, int index, List<String> peers, int storePort) {
        String callers = withFreePort(ip);
        String settings = PlatformExample.settings(
                index, ip, callers, withFreePort(ip), peers, SHUTDOWN_GRACE_SECONDS, storePort);
        return new HostProcess(directory, "host-" + index, callers, settings);
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
        loop.close();
    }
}
