package io.heatherloft.soak;

import io.heatherloft.domain.route.CallerLimits;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.NettyLoop;
import io.heatherloft.router.http.CallerHandler;
import io.heatherloft.router.http.CallerServer;
import io.heatherloft.standins.platform.PlatformExample;
import io.heatherloft.standins.platform.RunnerStandIn;
import io.heatherloft.standins.platform.StoreStandIn;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
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
    // As in deploy/system.toml.
    private static final int METRICS_PORT = 9_464;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Loop loop = new NettyLoop(group.next());
    private final StoreStandIn store = new StoreStandIn(loop);
    private final Map<String, RunnerStandIn> backends = new LinkedHashMap<>();
    private final Map<String, FaultyLink> links = new LinkedHashMap<>();
    private final List<HostProcess> hosts = new ArrayList<>();
    private int configurationVersion = 1;

    SoakFleet(Path directory, int hostCount) {
        FaultyLink storeLink = new FaultyLink(group, loop, listen(store));
        links.put("store", storeLink);
        onLoop(() -> store.put("op/config", PlatformExample.configuration(configurationVersion, KEY)));
        List.of("llm-1", "llm-2", "desk-1", "desk-2", "desk-3").forEach(this::startBackend);
        List<String> numbers = freeNumbers(hostCount);
        List<String> peers = numbers.stream().map(SoakFleet::freeAddress).toList();
        IntStream.range(0, hostCount)
                .forEach(host -> hosts.add(newHost(directory, numbers.get(host), host, peers, storeLink.port())));
        hosts.forEach(HostProcess::start);
    }

    private void startBackend(String id) {
        RunnerStandIn backend = new RunnerStandIn(loop, id, EVENTS);
        FaultyLink link = new FaultyLink(group, loop, listen(backend));
        backends.put(id, backend);
        links.put(id, link);
        enter(id);
    }

    /** Writes a backend server's entry into the store. */
    void enter(String id) {
        String service = id.substring(0, id.indexOf('-'));
        onLoop(() -> store.put(
                "servers/" + id, PlatformExample.backend(service, links.get(id).port(), "v1")));
    }

    /** Takes a backend server's entry out of the store. */
    void remove(String id) {
        onLoop(() -> store.delete("servers/" + id));
    }

    /** Writes the configuration anew, under the next version. */
    void reconfigure() {
        configurationVersion++;
        onLoop(() -> store.put("op/config", PlatformExample.configuration(configurationVersion, KEY)));
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
        String ready = freeAddress(ip);
        String settings =
                """
                node_name: "host-%d"
                ip: "%s"
                zone: "a"
                listen_addrs:
                  front: "%s"
                  ready: "%s"
                  control: "%s"
                seed_nodes: [%s]
                bounds:
                  grace_s: 4
                platform:
                  address: "127.0.0.1:%d"
                """
                        .formatted(
                                index,
                                ip,
                                callers,
                                ready,
                                peers.get(index),
                                String.join(
                                        ", ",
                                        peers.stream()
                                                .map(peer -> '"' + peer + '"')
                                                .toList()),
                                storePort);
        return new HostProcess(directory, "host-" + index, callers, ready, settings);
    }

    private static String freeAddress(String ip) {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return ip + ":" + socket.getLocalPort();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private int listen(CallerHandler handler) {
        CallerServer server = new CallerServer(group, loop, () -> CallerLimits.DEFAULT, handler, _status -> {});
        server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .join();
        return server.port();
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
        Supplier<Boolean> supplier = () -> {
            task.run();
            return true;
        };
        boolean _done = onLoop(supplier);
    }

    <T> T onLoop(Supplier<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> result.complete(task.get()));
        return result.join();
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
        io.netty.util.concurrent.Future<?> _ended =
                group.shutdownGracefully(0, 0, java.util.concurrent.TimeUnit.MILLISECONDS);
    }
}
