package io.heatherloft.standins;

import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletionException;

/**
 * A running set of stand-ins on one event loop.
 *
 * <p>Example:
 *
 * <pre>{@code
 * StandIns standIns = StandIns.start(settings);
 * standIns.run(() -> standIns.engine("127.0.0.1:9001").crash());
 * standIns.close();
 * }</pre>
 *
 * <p>Invariant: the stand-ins are touched only on the event loop, through {@link #run}. The methods of this class may be
 * called by any thread.
 */
public final class StandIns implements AutoCloseable {
    private static final char PORT_SEPARATOR = ':';

    private final Eventloop eventloop = Eventloop.create();
    private final InMemoryKeyValueStore store = new InMemoryKeyValueStore();
    private final KeyValueStandIn keyValue = new KeyValueStandIn(store, eventloop::currentTimeMillis);
    private final HostListStandIn hostList = new HostListStandIn();
    private final RatingStandIn rating = new RatingStandIn();
    private final Map<String, StandInServer> servers = new HashMap<>();
    private final Map<String, EngineStandIn> engines = new HashMap<>();
    private final Map<String, PlainServiceStandIn> plainServices = new HashMap<>();

    private StandIns() {
        eventloop.keepAlive(true);
        Thread thread = new Thread(eventloop, "heatherloft-standins");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Starts stand-ins.
     *
     * @throws IOException if an address is taken
     */
    public static StandIns start(StandInSettings settings) throws IOException {
        StandIns standIns = new StandIns();
        try {
            standIns.eventloop.submit(() -> standIns.listenAll(settings)).join();
        } catch (CompletionException exception) {
            standIns.close();
            throw new IOException("stand-ins cannot start", exception.getCause());
        }
        return standIns;
    }

    /** Runs a task on the event loop and waits for it. */
    public void run(Runnable task) {
        eventloop.submit(task::run).join();
    }

    /** Returns the key-value service's state. */
    public InMemoryKeyValueStore store() {
        return store;
    }

    /** Returns the number of calls of the key-value service so far. */
    public long keyValueCallCount() {
        return keyValue.callCount();
    }

    /** Returns the host list. */
    public HostListStandIn hostList() {
        return hostList;
    }

    /** Returns the engine at an address. */
    public EngineStandIn engine(String address) {
        return engines.get(address);
    }

    /** Returns all engines by address. */
    public Map<String, EngineStandIn> engines() {
        return Map.copyOf(engines);
    }

    /** Returns all plain services by address. */
    public Map<String, PlainServiceStandIn> plainServices() {
        return Map.copyOf(plainServices);
    }

    /** Returns the server at an address, for its fault switches. */
    public StandInServer server(String address) {
        return servers.get(address);
    }

    @Override
    public void close() {
        eventloop.execute(() -> {
            servers.values().forEach(StandInServer::close);
            eventloop.breakEventloop();
        });
        eventloop.keepAlive(false);
    }

    private void listenAll(StandInSettings settings) throws IOException {
        listen(settings.keyValueAddress(), keyValue);
        listen(settings.hostListAddress(), hostList);
        listen(settings.ratingAddress(), rating);
        settings.entryHosts()
                .forEach(host -> hostList.put(new HostListStandIn.ListedHost(
                        host.id(), host.peerAddress(), "entry", "", host.availabilityZone(), "live")));
        for (StandInSettings.Engine engine : settings.engines()) {
            startEngine(engine);
        }
        for (StandInSettings.PlainService service : settings.plainServices()) {
            PlainServiceStandIn standIn = new PlainServiceStandIn(service.address());
            plainServices.put(service.address(), standIn);
            listen(service.address(), standIn);
            addBackend(service.address(), service.pool(), service.availabilityZone());
        }
    }

    private void startEngine(StandInSettings.Engine engine) throws IOException {
        EngineStandIn standIn = new EngineStandIn(eventloop, engine.settings());
        engine.versions().forEach(version -> {
            standIn.loadVersion(version.name());
            standIn.setQuality(version.name(), version.quality());
        });
        engines.put(engine.address(), standIn);
        standIn.setServer(listen(engine.address(), standIn));
        addBackend(engine.address(), engine.pool(), engine.availabilityZone());
    }

    private void addBackend(String address, String pool, String zone) {
        hostList.put(new HostListStandIn.ListedHost(address, address, "backend", pool, zone, "live"));
    }

    private StandInServer listen(String address, AsyncServlet servlet) throws IOException {
        int separator = address.lastIndexOf(PORT_SEPARATOR);
        InetSocketAddress socketAddress = new InetSocketAddress(
                address.substring(0, separator), Integer.parseInt(address.substring(separator + 1)));
        StandInServer server = new StandInServer(eventloop, socketAddress, servlet);
        server.listen();
        servers.put(address, server);
        return server;
    }
}
