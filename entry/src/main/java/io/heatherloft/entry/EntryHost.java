package io.heatherloft.entry;

import com.codahale.metrics.MetricRegistry;
import io.heatherloft.domain.route.CallerLimits;
import io.heatherloft.peer.NettyPeerNetwork;
import io.heatherloft.peer.NettyPeerServer;
import io.heatherloft.peer.PeerTraffic;
import io.heatherloft.platform.PlatformFormats;
import io.heatherloft.platform.PlatformHeaders;
import io.heatherloft.platform.PlatformHttpClient;
import io.heatherloft.platform.PlatformSettings;
import io.heatherloft.platform.PlatformStore;
import io.heatherloft.ports.http.SocketAddresses;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.NettyLoop;
import io.heatherloft.router.backend.BackendConnectionPool;
import io.heatherloft.router.backend.BackendEndpoint;
import io.heatherloft.router.backend.ConnectionPoolSettings;
import io.heatherloft.router.backend.RelayServer;
import io.heatherloft.router.fleet.BackendRegistry;
import io.heatherloft.router.fleet.CrashRecorder;
import io.heatherloft.router.fleet.FleetView;
import io.heatherloft.router.fleet.RolloutController;
import io.heatherloft.router.fleet.SessionVersions;
import io.heatherloft.router.fleet.VersionPolicies;
import io.heatherloft.router.http.CallerServer;
import io.heatherloft.router.log.DecisionLog;
import io.heatherloft.router.log.LineQueue;
import io.heatherloft.router.peers.ColdServerGuard;
import io.heatherloft.router.peers.FleetGossip;
import io.heatherloft.router.peers.HostReports;
import io.heatherloft.router.request.EngineSettings;
import io.heatherloft.router.request.RequestEngine;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;

/**
 * Creates and connects the components of one entry host, and starts and stops them.
 *
 * <p>Invariant: everything except {@link #start}, {@link #stop} and {@link #reload} runs on the host's single event
 * loop.
 */
final class EntryHost {
    // Changes that follow one another are fetched together, but each well within the time in which it must take effect.
    private static final int WATCHES_PER_CHANGE_DEADLINE = 8;
    private static final long MIN_WATCH_INTERVAL_MILLIS = 100L;
    private static final long MAX_WATCH_INTERVAL_MILLIS = 500L;
    // Calls to the store are charged for. In a larger fleet each host asks less often, since hosts tell each other what
    // they read; a change still reaches a host that hears nothing from others in a third of its deadline.
    private static final long WATCH_INTERVAL_MILLIS_PER_HOST = 15L;
    private static final int MIN_WATCHES_PER_CHANGE_DEADLINE = 3;
    // Time for the last calls of the stopped components.
    private static final long PROCESS_END_DELAY_MILLIS = 50L;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    // Share of the fleet's retry budget that hosts use. The rest covers requests in progress at the end of a window.
    private static final double RETRY_BUDGET_SHARE = 0.85;
    // Initializing the logging library takes as long as the rest of the start, so it is delayed until callers are
    // served.
    private static final long LOGGING_START_DELAY_MILLIS = 1_500L;

    private final long startedAtNanos;
    private final PlatformSettings settings;
    private final EventLoopGroup group;
    private final Loop loop;
    private final DecisionLog log;
    private final LineQueue logQueue;
    private final FleetView fleetView;
    private final RolloutController rollouts;
    private final CrashRecorder crashRecorder;
    private final RequestEngine engine;
    private final CallerServer callerServer;
    private final GracefulStop gracefulStop;
    private final CallerServer readinessServer;
    private final CallerServer metricsServer;
    private final PeerTraffic peerTraffic = new PeerTraffic();
    private final NettyPeerNetwork peerNetwork;
    private final FleetGossip gossip;
    private final HostReports reports;
    private final BackendConnectionPool backendPool;
    private final RelayServer relayServer;
    private String relayAddress = "";
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private boolean stopping;

    private EntryHost(
            PlatformSettings settings, LineQueue logQueue, Function<String, InetSocketAddress> serverAddresses) {
        this.startedAtNanos = System.nanoTime();
        this.settings = settings;
        this.logQueue = logQueue;
        this.group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        this.loop = new NettyLoop(group.next());
        MetricRegistry metrics = new MetricRegistry();
        this.log = new DecisionLog(loop, settings.hostName(), metrics, logQueue::offer);
        BackendConnectionPool storePool = new BackendConnectionPool(group, loop, ConnectionPoolSettings.DEFAULT);
        this.reports = new HostReports(loop, settings.hostName());
        PlatformStore store = new PlatformStore(
                loop,
                new PlatformHttpClient(loop, storePool, new BackendEndpoint("store", settings.storeAddress())),
                () -> watchIntervalMillis(settings, reports.hostCount()),
                new Random());
        PlatformFormats formats = new PlatformFormats();
        BackendRegistry registry = new BackendRegistry(loop, log);
        VersionPolicies versions = new VersionPolicies(loop, new SessionVersions(settings.sessionIdleTimeoutMillis()));
        this.fleetView = new FleetView(loop, store, formats, registry, versions, log, metrics, new Random());
        this.rollouts = new RolloutController(
                loop, store, formats, versions, log, fleetView::storeEra, reports::writeDelayMillis);
        this.crashRecorder =
                new CrashRecorder(loop, store, formats, registry.crashingPrompts(), log, reports::writeDelayMillis);
        this.peerNetwork = new NettyPeerNetwork(group, loop, peerTraffic);
        this.gossip = new FleetGossip(
                loop,
                peerNetwork,
                fleetView,
                registry,
                versions,
                reports,
                log,
                new Random(),
                settings.hostName(),
                settings.peerAddress().orElse(""),
                settings.seedAddresses());
        this.backendPool = new BackendConnectionPool(group, loop, ConnectionPoolSettings.DEFAULT, serverAddresses);
        ColdServerGuard coldServers = new ColdServerGuard(
                loop,
                reports,
                registry,
                service -> fleetView.configuration().flatMap(configuration -> configuration.findService(service)),
                settings.coldBound(),
                settings.hostName(),
                log,
                metrics);
        coldServers.useUpCheck(
                server -> backendPool.checkConnectable(server.endpoint(), () -> coldServers.onConnected(server)));
        registry.evacuatedZones().addEndListener((zone, _endMillis) -> coldServers.onEvacuationEnded(zone));
        this.engine = new RequestEngine(
                loop,
                fleetView,
                new PlatformHeaders(),
                backendPool,
                registry,
                versions,
                reports,
                coldServers,
                engineSettings(settings),
                log,
                metrics);
        Random relayOrder = new Random();
        backendPool.useOtherHosts(
                () -> reports.relayAddresses(relayOrder), lost -> onServerLinks(lost, registry, coldServers));
        this.relayServer = backendPool.newRelayServer(endpoint -> registry.find(endpoint.id())
                .filter(server -> server.endpoint().equals(endpoint))
                .filter(server -> !registry.evacuatedZones().contains(server))
                .isPresent());
        backendPool.useOnly(endpoint -> registry.find(endpoint.id())
                .filter(registry.evacuatedZones()::contains)
                .isEmpty());
        registry.evacuatedZones().addBeginListener(zone -> registry.inZone(zone)
                .forEach(server -> backendPool.closeIdle(server.entry().id())));
        metrics.gauge("zones_evacuated", () -> registry.evacuatedZones()::count);
        metrics.gauge("backend_connections_relayed", () -> backendPool::relayed);
        metrics.gauge("backend_links_lost", () -> () -> backendPool.isCutOff() ? 1 : 0);
        metrics.gauge("backend_connections_opened", () -> backendPool::opened);
        metrics.gauge("backend_connections_reused", () -> backendPool::reused);
        metrics.gauge("backend_connections_unsolicited", () -> backendPool::unsolicited);
        backendPool.onUnsolicitedBytes(serverId -> log.stateChange(
                "unsolicited_bytes", line -> line.with("backend_id", serverId).with("outcome", "connection_closed")));
        metrics.gauge("store_reachable", () -> () -> fleetView.isStoreReachable() ? 1 : 0);
        metrics.gauge(
                "configuration_revision",
                () -> () -> fleetView.configurationRevision().number());
        metrics.gauge("store_era", () -> fleetView::storeEra);
        metrics.gauge("backend_servers_known", () -> () -> registry.all().size());
        metrics.gauge("hosts_known", () -> reports::hostCount);
        metrics.gauge("peer_bytes_sent", () -> peerTraffic::sentBytes);
        this.callerServer = new CallerServer(
                group, loop, fleetView::limits, engine, status -> metrics.counter("requests_rejected_total." + status)
                        .inc());
        this.gracefulStop = new GracefulStop(
                loop, callerServer, new OpenRequestsReport(loop, callerServer, log, metrics), engine::beginStop);
        metrics.gauge("requests_in_progress", () -> engine::inProgress);
        metrics.gauge("caller_connections", () -> callerServer::connectionCount);
        metrics.gauge("caller_connection_errors", () -> callerServer::connectionErrors);
        this.readinessServer = new CallerServer(
                group, loop, () -> CallerLimits.DEFAULT, new ReadinessHandler(this::isReady), _status -> {});
        this.metricsServer =
                new CallerServer(group, loop, () -> CallerLimits.DEFAULT, new MetricsHandler(metrics), _status -> {});
    }

    private void onServerLinks(boolean lost, BackendRegistry registry, ColdServerGuard coldServers) {
        if (lost) {
            // The failures were those of this host's links.
            registry.all().forEach(server -> server.health().forgetFailures());
            coldServers.forgetFailures();
        }
        log.lifecycle(lost ? "dependency_lost" : "dependency_regained", line -> line.with(
                        "dependency", "backend_servers")
                .with("reason", lost ? "other hosts reach servers that this host does not" : "connected directly"));
    }

    private static long watchIntervalMillis(PlatformSettings settings, int hostCount) {
        long intervalMillis = settings.changeDeadlineMillis() / WATCHES_PER_CHANGE_DEADLINE;
        long fewHostsMillis = Math.max(MIN_WATCH_INTERVAL_MILLIS, Math.min(MAX_WATCH_INTERVAL_MILLIS, intervalMillis));
        long longestMillis = settings.changeDeadlineMillis() / MIN_WATCHES_PER_CHANGE_DEADLINE;
        return Math.max(fewHostsMillis, Math.min(longestMillis, WATCH_INTERVAL_MILLIS_PER_HOST * hostCount));
    }

    private static EngineSettings engineSettings(PlatformSettings settings) {
        return new EngineSettings(
                settings.availabilityZone(),
                settings.retryRatio() * RETRY_BUDGET_SHARE,
                settings.retryAllowance() * RETRY_BUDGET_SHARE,
                settings.coldBound(),
                settings.admissionControl());
    }

    /** Creates a log queue that defers initialization of the logging library until the host has started. */
    static LineQueue newLogQueue() {
        return new LineQueue(LOGGING_START_DELAY_MILLIS, LoggingSetup::install);
    }

    /**
     * Starts a host.
     *
     * @param earlyListener listener that may already have bound the callers' address
     * @param metricsPort port at which the metrics are served; 0 for any free port
     * @throws IllegalStateException if an address cannot be bound
     */
    static EntryHost start(
            PlatformSettings settings, LineQueue logQueue, EarlyListener earlyListener, int metricsPort) {
        return start(settings, logQueue, earlyListener, metricsPort, SocketAddresses::parse);
    }

    /**
     * Starts a host as above.
     *
     * @param serverAddresses returns the socket address for the address of a backend server
     */
    static EntryHost start(
            PlatformSettings settings,
            LineQueue logQueue,
            EarlyListener earlyListener,
            int metricsPort,
            Function<String, InetSocketAddress> serverAddresses) {
        EntryHost host = new EntryHost(settings, logQueue, serverAddresses);
        try {
            host.listenForCallers(earlyListener).join();
            host.listen(host.readinessServer, settings.readinessAddress()).join();
            host.listen(host.metricsServer, settings.ipAddress() + ":" + metricsPort)
                    .join();
            host.relayAddress = host.relayServer
                    .listen(settings.ipAddress(), settings.relayPort())
                    .join();
            host.loop.execute(() -> host.reports.offerRelay(
                    settings.availabilityZone(), host.relayAddress, host.backendPool::isCutOff));
            settings.peerAddress()
                    .ifPresent(address -> new NettyPeerServer(
                            host.group, SocketAddresses.parse(address), host.loop, host.peerTraffic, host.gossip));
        } catch (CompletionException | IOException exception) {
            throw new IllegalStateException(String.valueOf(exception.getCause()), exception);
        }
        host.loop.execute(host::startServices);
        return host;
    }

    private CompletableFuture<Void> listenForCallers(EarlyListener earlyListener) throws IOException {
        Optional<ServerSocketChannel> channel = earlyListener.takeChannel(settings.callerAddress());
        return channel.isPresent()
                ? callerServer.listen(channel.get())
                : listen(callerServer, settings.callerAddress());
    }

    private CompletableFuture<Void> listen(CallerServer server, String address) {
        return server.listen(SocketAddresses.parse(address));
    }

    /** Returns the port at which callers are served. */
    int callerPort() {
        return callerServer.port();
    }

    /** Returns the port at which the load balancer checks readiness. */
    int readinessPort() {
        return readinessServer.port();
    }

    /** Returns the address at which this host connects other hosts to backend servers. */
    String relayAddress() {
        return relayAddress;
    }

    /** Returns the port at which the metrics are served. */
    int metricsPort() {
        return metricsServer.port();
    }

    private void startServices() {
        log.lifecycle("start", line -> line.with("availability_zone", settings.availabilityZone())
                .with("store", settings.storeAddress())
                .with("starting_ms", (System.nanoTime() - startedAtNanos) / NANOS_PER_MILLI));
        logQueue.start();
        fleetView.start();
        rollouts.start();
        crashRecorder.start();
        gossip.start();
    }

    private boolean isReady() {
        return !stopping && fleetView.isComplete();
    }

    /** Logs a request to reload; the settings are read at start only. May be called by any thread. */
    void reload() {
        loop.execute(() -> log.lifecycle("reload", line -> line.with("outcome", "unchanged")));
    }

    /** Stops the event loop immediately, without a graceful shutdown. May be called by any thread. */
    void shutdownNow() {
        io.netty.util.concurrent.Future<?> _ended =
                group.shutdownGracefully(0, 0, java.util.concurrent.TimeUnit.MILLISECONDS);
    }

    /** Writes the remaining log lines; must be called after the host has stopped. */
    void flushLog() {
        logQueue.finish();
    }

    /**
     * Shuts down gracefully, in the phases of {@link GracefulStop}; a second call has no effect of its own. May be called by
     * any thread.
     *
     * @param elapsedMillis time since the stop was requested, which is a part of the grace period
     */
    CompletableFuture<Void> stop(long elapsedMillis) {
        loop.execute(() -> {
            if (!stopping) {
                stopping = true;
                gossip.announceStop();
                gracefulStop.begin(
                        StopPhases.of(settings.gracePeriodMillis()).after(elapsedMillis), this::stopServices);
            }
        });
        return stopped;
    }

    /** Shuts down gracefully, as above, because of a request that was made just now. */
    CompletableFuture<Void> stop() {
        return stop(0);
    }

    private void stopServices() {
        rollouts.stop();
        crashRecorder.stop();
        gossip.stop();
        peerNetwork.close();
        fleetView.stop();
        loop.schedule(PROCESS_END_DELAY_MILLIS, () -> stopped.complete(null));
    }
}
