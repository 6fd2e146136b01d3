package io.heatherloft.soak;

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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * The stand-ins of a platform, with faulty links before them, and entry hosts as processes.
 *
 * <p>The stand-ins and links are confined to a loop, reached by {@link #onLoop}; the rest to one thread.
 */
final class SoakFleet implements AutoCloseable {
    static final String KEY = "k1";
    static final int EVENTS = 8;
    private static final int GRACE_SECONDS = 4;
    // As in deploy/system.toml.
    private static final int METRICS_PORT = 9_464;

    private final StandInLoop loop = new StandInLoop();
    private final StoreStandIn store = new StoreStandIn(loop.loop());
    private final Map<String, RunnerStandIn> backends = new LinkedHashMap<>();
    private final Map<String, FaultyLink> links = new LinkedHashMap<>();
    private final List<HostProcess> hosts = new ArrayList<>();
    private int configurationVersion = 1;

    SoakFleet(Path directory, int hostCount) {
        FaultyLink storeLink = new FaultyLink(loop.group(), loop.loop(), loop.listen(store, 0));
        links.put("store", storeLink);
        onLoop(() -> store.putConfiguration(PlatformFixtures.configuration(configurationVersion, KEY)));
        List.of("llm-1", "llm-2", "desk-1", "desk-2", "desk-3").forEach(this::startBackend);
        List<String> numbers = freeNumbers(hostCount);
        List<String> peers = numbers.stream().map(SoakFleet::freeAddress).toList();
        IntStream.range(0, hostCount)
                .forEach(host -> hosts.add(newHost(directory, numbers.get(host), host, peers, storeLink.port())));
        hosts.forEach(HostProcess::start);
    }

    private void startBackend(String id) {
        RunnerStandIn backend = new RunnerStandIn(loop.loop(), id, EVENTS);
        FaultyLink link = new FaultyLink(loop.group(), loop.loop(), loop.listen(backend, 0));
        backends.put(id, backend);
        links.put(id, link);
        enter(id);
    }

    /** Writes a backend server's entry into the store. */
    void enter(String id) {
        String service = id.substring(0, id.indexOf('-'));
        onLoop(() -> store.putBackend(
                id, PlatformFixtures.backendEntry(service, links.get(id).port(), "v1")));
    }

    /** Takes a backend server's entry out of the store. */
    void remove(String id) {
        onLoop(() -> store.deleteBackend(id));
    }

    /** Writes the configuration anew, under the next version. */
    void reconfigure() {
        configurationVersion++;
        onLoop(() -> store.putConfiguration(PlatformFixtures.configuration(configurationVersion, KEY)));
    }

    // Loopback numbers at which the port of the metrics, which is fixed, is free; other runs may go on beside this one.
    private static List<String> freeNumbers(int count) {
        Random random = new Random();
        return Stream.generate(() -> "127." + (1 + random.nextInt(254)) + '.' + random.nextInt(255) + ".2")
                .filter(SoakFleet::isFree)
                .distinct()
                .limit(count)
                .toList();
    }

    private static boolean isFree(String ip) {
        try (ServerSocket _socket = new ServerSocket(METRICS_PORT, 1, InetAddress.getByName(ip))) {
            return true;
        } catch (IOException _exception) {
            return false;
        }
    }

    private static HostProcess newHost(Path directory, String ip, int index, List<String> peers, int storePort) {
        String callers = freeAddress(ip);
        String settings =
                PlatformFixtures.hostSettings(index, ip, callers, freeAddress(ip), peers, GRACE_SECONDS, storePort);
        return new HostProcess(directory, "host-" + index, callers, settings);
    }

    private static String freeAddress(String ip) {
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

    Map<String, FaultyLink> links() {
        return links;
    }

    void onLoop(Runnable task) {
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
