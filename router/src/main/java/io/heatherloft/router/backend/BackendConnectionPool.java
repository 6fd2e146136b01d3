package io.heatherloft.router.backend;

import io.heatherloft.domain.route.ServerReachability;
import io.heatherloft.ports.http.SocketAddresses;
import io.heatherloft.ports.loop.Loop;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Stream;
import jdk.net.ExtendedSocketOptions;

/**
 * Pool of HTTP connections to backend servers.
 *
 * <p>A connection carries one exchange at a time. An idle connection is reused only for the endpoint that it was opened
 * for, in last-in, first-out order, so that surplus connections reach their idle timeout. If other hosts are known, a
 * server to which a direct connection fails is reached through one of them, and the direct way is probed until it works
 * again. Confined to the loop's thread.
 */
public final class BackendConnectionPool {
    // TCP keep-alive: a connection whose peer vanished without a reset fails after about three seconds, even while a
    // response is awaited.
    private static final int KEEPALIVE_SECONDS = 1;
    private static final int KEEPALIVE_PROBES = 2;
    private static final long PROBE_MILLIS = 250L;
    // If nothing arrives for this time while responses are awaited, the links may be gone.
    private static final long QUIET_MILLIS = 500L;
    private static final long QUIET_PROBE_MILLIS = 1_000L;
    private static final int PROBED_SERVERS = 2;

    private final Loop loop;
    private final ConnectionPoolSettings settings;
    private final Function<String, InetSocketAddress> addresses;
    private final Bootstrap bootstrap;
    private final Map<BackendEndpoint, Deque<BackendConnection>> idle = new HashMap<>();
    private final ServerReachability reachability = new ServerReachability();
    private final Map<String, BackendEndpoint> probedServers = new HashMap<>();
    private final Set<BackendEndpoint> checkedEndpoints = new HashSet<>();
    private final Set<BackendConnection> waiting = Collections.newSetFromMap(new IdentityHashMap<>());
    private RelayClient relay;
    private Consumer<Boolean> linkListener = _lost -> {};
    private Consumer<String> unsolicitedListener = _serverId -> {};
    private Predicate<BackendEndpoint> mayUse = _endpoint -> true;
    private long lastReceivedMillis;
    private long nextQuietProbeMillis;
    private boolean cutOff;
    private long opened;
    private long unsolicited;
    private long reused;
    private long relayed;

    /** Creates an empty pool. */
    public BackendConnectionPool(EventLoopGroup group, Loop loop, ConnectionPoolSettings settings) {
        this(group, loop, settings, SocketAddresses::parse);
    }

    /**
     * Creates an empty pool.
     *
     * @param addresses returns the socket address for the address of a server
     */
    public BackendConnectionPool(
            EventLoopGroup group,
            Loop loop,
            ConnectionPoolSettings settings,
            Function<String, InetSocketAddress> addresses) {
        this.loop = loop;
        this.settings = settings;
        this.addresses = addresses;
        this.bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMillis())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES);
        this.relay = new RelayClient(loop, bootstrap, List::of);
    }

    /**
     * Lets other hosts connect to servers that this host cannot reach.
     *
     * @param hosts supplies the addresses of other hosts in the order in which they should be asked
     * @param listener called with true when this host has lost its links to the servers, and with false when it has them
     *     again
     */
    public void useOtherHosts(Supplier<List<String>> hosts, Consumer<Boolean> listener) {
        relay = new RelayClient(loop, bootstrap, hosts);
        linkListener = listener;
        Loop.Cancellation _running = loop.repeat(PROBE_MILLIS, this::probe);
    }

    /** Sets a listener that is called with the ID of a server that sent bytes which belong to no request. */
    public void onUnsolicitedBytes(Consumer<String> listener) {
        unsolicitedListener = listener;
    }

    /**
     * Sets which servers may be used. Connections to others are closed once their exchange has ended, and requests that still wait
     * for a connection to them are not sent.
     */
    public void useOnly(Predicate<BackendEndpoint> newMayUse) {
        mayUse = newMayUse;
    }

    boolean mayUse(BackendEndpoint endpoint) {
        return mayUse.test(endpoint);
    }

    /** Creates a server that connects other hosts to the servers of which {@code isKnown} returns true. */
    public RelayServer newRelayServer(Predicate<BackendEndpoint> isKnown) {
        return new RelayServer(bootstrap.config().group(), bootstrap, addresses, isKnown, this::isCutOff);
    }

    /** Returns true while this host has no links to the servers, although other hosts reach them. */
    public boolean isCutOff() {
        return reachability.isCutOff(loop.nowMillis());
    }

    /** Sends a request on an idle connection, or on a new one if there is none. Takes ownership of the request. */
    public BackendExchange send(BackendEndpoint endpoint, FullHttpRequest request, ResponseListener listener) {
        BackendConnection connection = pollIdle(endpoint);
        if (connection != null) {
            reused++;
            return connection.startExchange(request, listener);
        }
        return sendOnNewConnection(endpoint, request, listener);
    }

    /** Sends a request on a new connection. Takes ownership of the request. */
    public BackendExchange sendOnNewConnection(
            BackendEndpoint endpoint, FullHttpRequest request, ResponseListener listener) {
        opened++;
        return connect(endpoint, request, listener);
    }

    /**
     * Opens and closes a connection to find out whether a server is up; calls the task if it refuses connections, those of
     * other hosts too. Does nothing while an earlier check of the server is in progress.
     */
    public void checkUp(BackendEndpoint endpoint, Runnable onRefused) {
        checkOnce(endpoint, () -> {}, (failure, outcome) -> {
            if (outcome.confirmed() && isRefusal(failure)) {
                onRefused.run();
            }
        });
    }

    /**
     * Opens and closes a connection to a server, through another host if need be, and calls the task if that succeeds. Does nothing
     * while an earlier check of the server is in progress.
     */
    public void checkConnectable(BackendEndpoint endpoint, Runnable onConnected) {
        checkOnce(endpoint, onConnected, (_failure, _outcome) -> {});
    }

    private void checkOnce(
            BackendEndpoint endpoint, Runnable onConnected, BiConsumer<Throwable, RelayClient.Outcome> onUnreachable) {
        if (!checkedEndpoints.add(endpoint)) {
            return;
        }
        openDirectly(
                endpoint,
                channel -> {
                    checkedEndpoints.remove(endpoint);
                    ChannelFuture _closed = channel.close();
                    onConnected.run();
                },
                failure -> relay.connect(endpoint, outcome -> {
                    checkedEndpoints.remove(endpoint);
                    closeIfReachable(endpoint, outcome);
                    if (outcome.channel().isPresent()) {
                        onConnected.run();
                    } else {
                        onUnreachable.accept(failure, outcome);
                    }
                }));
    }

    private void tryDirectly(BackendEndpoint endpoint, Consumer<Throwable> onFailure) {
        openDirectly(
                endpoint,
                channel -> {
                    ChannelFuture _closed = channel.close();
                },
                onFailure);
    }

    private void closeIfReachable(BackendEndpoint endpoint, RelayClient.Outcome outcome) {
        outcome.channel().ifPresent(channel -> {
            ChannelFuture _closed = channel.close();
            onReachableByOthers(endpoint);
        });
    }

    private void openDirectly(BackendEndpoint endpoint, Consumer<Channel> onConnected, Consumer<Throwable> onFailure) {
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInboundHandlerAdapter())
                .connect(addresses.apply(endpoint.address()));
        connecting.addListener(_done -> {
            if (connecting.isSuccess()) {
                onDirectConnection(endpoint);
                onConnected.accept(connecting.channel());
            } else {
                onFailure.accept(connecting.cause());
            }
        });
    }

    private void tryThroughHost(BackendEndpoint endpoint) {
        relay.connect(endpoint, outcome -> closeIfReachable(endpoint, outcome));
    }

    private void probe() {
        long now = loop.nowMillis();
        List<String> unreachable = reachability.unreachableServers(now);
        probedServers.keySet().retainAll(unreachable);
        updateCutOff();
        if (!unreachable.isEmpty()) {
            String probed = unreachable.get((int) (now / PROBE_MILLIS % unreachable.size()));
            Optional.ofNullable(probedServers.get(probed))
                    .ifPresent(endpoint -> tryDirectly(endpoint, _failure -> {
                        if (reachability.isDueForConfirmation(probed, loop.nowMillis())) {
                            tryThroughHost(endpoint);
                        }
                    }));
            return;
        }
        boolean quiet = !waiting.isEmpty() && now - lastReceivedMillis >= QUIET_MILLIS;
        if (quiet && now >= nextQuietProbeMillis) {
            nextQuietProbeMillis = now + QUIET_PROBE_MILLIS;
            waiting.stream()
                    .map(BackendConnection::endpoint)
                    .distinct()
                    .limit(PROBED_SERVERS)
                    .toList()
                    .forEach(this::check);
        }
    }

    private void onDirectConnection(BackendEndpoint endpoint) {
        reachability.recordDirectConnection(endpoint.id(), loop.nowMillis());
        updateCutOff();
    }

    private void onReachableByOthers(BackendEndpoint endpoint) {
        boolean first = reachability.unreachableServers(loop.nowMillis()).isEmpty();
        probedServers.put(endpoint.id(), endpoint);
        reachability.recordReachableByOthers(endpoint.id(), loop.nowMillis());
        updateCutOff();
        if (first) {
            probeOthers(endpoint);
        }
    }

    // Tells early whether only the way to one server is gone or all links are.
    private void probeOthers(BackendEndpoint endpoint) {
        Stream.concat(waiting.stream().map(BackendConnection::endpoint), idle.keySet().stream())
                .filter(other -> !other.equals(endpoint))
                .distinct()
                .limit(PROBED_SERVERS)
                .toList()
                .forEach(this::check);
    }

    private void check(BackendEndpoint endpoint) {
        tryDirectly(endpoint, _failure -> tryThroughHost(endpoint));
    }

    // Connections of the kind that is no longer used are closed, since those that were established before a cut may be
    // dead.
    private void updateCutOff() {
        boolean cutOffNow = isCutOff();
        if (cutOffNow != cutOff) {
            cutOff = cutOffNow;
            idle.values().stream()
                    .flatMap(connections -> List.copyOf(connections).stream())
                    .filter(connection -> connection.isRelayed() != cutOffNow)
                    .toList()
                    .forEach(BackendConnection::close);
            linkListener.accept(cutOffNow);
        }
    }

    void onExchangeStart(BackendConnection connection) {
        if (waiting.isEmpty()) {
            lastReceivedMillis = loop.nowMillis();
        }
        waiting.add(connection);
    }

    void onExchangeEnd(BackendConnection connection) {
        waiting.remove(connection);
    }

    void onUnsolicitedBytes(BackendConnection connection) {
        unsolicited++;
        unsolicitedListener.accept(connection.endpoint().id());
    }

    void onReceived() {
        lastReceivedMillis = loop.nowMillis();
    }

    static boolean isRefusal(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }

    /** Closes the idle connections to a server, for example after a timeout on an active connection to it. */
    public void closeIdle(String serverId) {
        idle.entrySet().stream()
                .filter(entry -> entry.getKey().id().equals(serverId))
                .flatMap(entry -> List.copyOf(entry.getValue()).stream())
                .toList()
                .forEach(BackendConnection::close);
    }

    /** Returns the total number of connections opened. */
    public long opened() {
        return opened;
    }

    /** Returns the total number of exchanges that reused a connection. */
    public long reused() {
        return reused;
    }

    /** Returns the total number of connections closed because of bytes that belonged to no request. */
    public long unsolicited() {
        return unsolicited;
    }

    /** Returns the total number of connections through other hosts. */
    public long relayed() {
        return relayed;
    }

    private BackendConnection pollIdle(BackendEndpoint endpoint) {
        Deque<BackendConnection> connections = idle.getOrDefault(endpoint, new ArrayDeque<>());
        while (!connections.isEmpty()) {
            BackendConnection connection = connections.pollFirst();
            if (connection.isUsable()) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    private BackendExchange connect(BackendEndpoint endpoint, FullHttpRequest request, ResponseListener listener) {
        BackendConnection connection = new BackendConnection(this, loop, settings, endpoint);
        BackendExchange exchange = connection.startExchange(request, listener);
        if (reachability.isUnreachable(endpoint.id(), loop.nowMillis())) {
            relay.connect(
                    endpoint,
                    outcome -> onRelayOutcome(
                            connection,
                            outcome,
                            () -> connectDirectly(
                                    connection,
                                    cause -> connection.onConnectFailed(
                                            reasonOf(cause, outcome), isRefusal(cause), false))));
        } else {
            connectDirectly(connection, cause -> connectThroughHost(connection, cause));
        }
        return exchange;
    }

    // The connection joins the pipeline once the channel is connected, because it can join only one.
    private void connectDirectly(BackendConnection connection, Consumer<Throwable> onFailure) {
        openDirectly(connection.endpoint(), channel -> join(connection, channel), onFailure);
    }

    static void join(BackendConnection connection, Channel channel) {
        channel.pipeline().addLast(new HttpRequestEncoder(), connection.decoder(), connection);
        connection.onConnected(channel);
    }

    private void connectThroughHost(BackendConnection connection, Throwable directFailure) {
        if (connection.isClosed()) {
            return;
        }
        relay.connect(connection.endpoint(), outcome -> {
            if (outcome.channel().isPresent()) {
                onReachableByOthers(connection.endpoint());
            }
            onRelayOutcome(
                    connection,
                    outcome,
                    () -> connection.onConnectFailed(
                            reasonOf(directFailure, outcome),
                            isRefusal(directFailure) && outcome.confirmed(),
                            outcome.confirmed()));
        });
    }

    private static String reasonOf(Throwable directFailure, RelayClient.Outcome outcome) {
        return outcome.hosts().isEmpty()
                ? directFailure.getMessage()
                : directFailure.getMessage() + "; " + outcome.hosts();
    }

    private void onRelayOutcome(BackendConnection connection, RelayClient.Outcome outcome, Runnable onFailure) {
        outcome.channel()
                .ifPresentOrElse(
                        channel -> {
                            relayed++;
                            connection.setRelayed();
                            join(connection, channel);
                        },
                        onFailure);
    }

    void release(BackendConnection connection) {
        if (!mayUse(connection.endpoint())) {
            connection.close();
            return;
        }
        idle.computeIfAbsent(connection.endpoint(), _endpoint -> new ArrayDeque<>())
                .addFirst(connection);
    }

    void onClosed(BackendConnection connection) {
        BackendEndpoint endpoint = connection.endpoint();
        idle.computeIfPresent(endpoint, (_key, connections) -> {
            connections.remove(connection);
            return connections.isEmpty() ? null : connections;
        });
    }
}
