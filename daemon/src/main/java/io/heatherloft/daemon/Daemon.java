package io.heatherloft.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpClient;
import io.activej.http.HttpServer;
import io.heatherloft.daemon.http.CallerServlet;
import io.heatherloft.daemon.http.OperationsServlet;
import io.heatherloft.daemon.settings.DaemonSettings;
import io.heatherloft.domain.membership.Member;
import io.heatherloft.peer.NettyPeerNetwork;
import io.heatherloft.peer.NettyPeerServer;
import io.heatherloft.peer.PeerTraffic;
import io.heatherloft.ports.backend.HttpBackendClient;
import io.heatherloft.ports.backend.HttpEngineClient;
import io.heatherloft.ports.hosts.HttpHostList;
import io.heatherloft.ports.http.HttpClients;
import io.heatherloft.ports.http.SocketAddresses;
import io.heatherloft.ports.loop.ActiveJLoop;
import io.heatherloft.ports.rating.HttpRatingService;
import io.heatherloft.ports.store.EtcdGatewayStore;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.prometheus.metrics.instrumentation.dropwizard.DropwizardExports;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * A running entry host: the host's decisions on one event loop, with its HTTP servers and its peers.
 *
 * <p>Example:
 *
 * <pre>{@code
 * Daemon daemon = Daemon.start(settings);
 * daemon.stop().join();
 * }</pre>
 *
 * <p>Invariant: all state is confined to the event loop's thread; the public methods may be called by any thread.
 */
public final class Daemon {
    private static final Logger LOG = LogManager.getLogger(Daemon.class);
    private static final Duration HTTP_IO_TIMEOUT = Duration.ofSeconds(30);

    private final DaemonSettings settings;
    private final Eventloop eventloop;
    private final Thread thread;
    private final MultiThreadIoEventLoopGroup peerGroup;
    private final PeerTraffic traffic = new PeerTraffic();
    private final MetricRegistry registry = new MetricRegistry();
    private NettyPeerServer peerServer;
    private NettyPeerNetwork peerNetwork;
    private HttpServer callerServer;
    private HttpServer operationsServer;
    private HostCore core;

    private Daemon(DaemonSettings settings) {
        this.settings = settings;
        this.eventloop = Eventloop.builder()
                .withThreadName("heatherloft-" + settings.id())
                .build();
        this.eventloop.keepAlive(true);
        this.thread = new Thread(eventloop, "heatherloft-" + settings.id());
        this.peerGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    /**
     * Starts a host.
     *
     * @throws IOException if an address is taken
     */
    public static Daemon start(DaemonSettings settings) throws IOException {
        Daemon daemon = new Daemon(settings);
        daemon.thread.start();
        try {
            daemon.eventloop.submit(daemon::assemble).join();
        } catch (java.util.concurrent.CompletionException exception) {
            daemon.shutDown();
            throw new IOException("host " + settings.id() + " cannot start", exception.getCause());
        }
        LOG.info("host {} is started", settings.id());
        return daemon;
    }

    /** Stops in order, as on SIGTERM; completes when the process may end. */
    public CompletableFuture<Void> stop() {
        LOG.info("host {} is stopping", settings.id());
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        eventloop.execute(() -> {
            CompletableFuture<Void> drained = core.stop(settings.balancerNoticeMillis(), settings.drainMillis());
            io.heatherloft.ports.loop.Futures.onComplete(drained, (_nothing, _failure) -> {
                closeServers();
                stopped.complete(null);
            });
        });
        return stopped.thenRun(this::shutDown);
    }

    /** Ends at once, as a crash would: nothing is flushed or handed over. */
    public void kill() {
        eventloop.submit(this::closeServers).join();
        shutDown();
    }

    /** Returns the metrics. */
    public MetricRegistry registry() {
        return registry;
    }

    /** Returns the host's decisions; use them only on the event loop. */
    public HostCore core() {
        return core;
    }

    /** Runs a task on the event loop. */
    public void execute(Runnable task) {
        eventloop.execute(task);
    }

    private void assemble() throws IOException {
        ActiveJLoop loop = new ActiveJLoop(eventloop);
        HttpClient platform = HttpClients.withKeepAlive(eventloop);
        peerNetwork = new NettyPeerNetwork(peerGroup, loop, traffic);
        Ports ports = new Ports(
                loop,
                new Random(),
                new EtcdGatewayStore(platform, loop, settings.storeUrl()),
                peerNetwork,
                new HttpHostList(platform, settings.hostListUrl()),
                new HttpBackendClient(HttpClients.withKeepAlive(eventloop), HttpClients.withoutKeepAlive(eventloop)),
                new HttpRatingService(platform, settings.ratingUrl()),
                new HttpEngineClient(platform));
        Member self = new Member(
                settings.id(),
                loop.nowMillis(),
                0,
                settings.peerAddress(),
                settings.availabilityZone(),
                Member.Status.ALIVE);
        core = new HostCore(ports, self, registry);
        peerServer = new NettyPeerServer(
                peerGroup, SocketAddresses.parse(settings.peerAddress()), loop, traffic, core.peerHandler());
        PrometheusRegistry metrics = new PrometheusRegistry();
        registerGauges();
        metrics.register(new DropwizardExports(registry));
        callerServer = listen(settings.callerAddress(), new CallerServlet(core.requests()));
        operationsServer = listen(settings.operationsAddress(), new OperationsServlet(core, metrics));
        core.start();
    }

    private void registerGauges() {
        registry.register(
                "requests.in-progress", (Gauge<Integer>) () -> core.requests().inProgress());
        registry.register(
                "ledger.not-durable", (Gauge<Integer>) () -> core.ledger().outboxSize());
        registry.register("configuration.generation", (Gauge<Long>)
                () -> core.fleet().configuration().generation());
        registry.register("peers.known", (Gauge<Integer>)
                () -> core.fleet().members().peers().size());
        registry.register("peers.sent-bytes", (Gauge<Long>) traffic::sentBytes);
        registry.register("peers.received-bytes", (Gauge<Long>) traffic::receivedBytes);
    }

    private HttpServer listen(String address, AsyncServlet servlet) throws IOException {
        HttpServer server = HttpServer.builder(eventloop, servlet)
                .withListenAddress(SocketAddresses.parse(address))
                .withReadWriteTimeout(HTTP_IO_TIMEOUT)
                .build();
        server.listen();
        return server;
    }

    private void closeServers() {
        if (callerServer != null) {
            callerServer.close();
        }
        if (operationsServer != null) {
            operationsServer.close();
        }
        if (peerServer != null) {
            peerServer.close();
        }
        if (peerNetwork != null) {
            peerNetwork.close();
        }
    }

    private void shutDown() {
        eventloop.execute(eventloop::breakEventloop);
        eventloop.keepAlive(false);
        peerGroup
                .shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS)
                .syncUninterruptibly();
    }
}
