package io.heatherloft.router.fleet;

import io.heatherloft.domain.StoreRevision;
import io.heatherloft.domain.route.BackendRegistration;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.log.DecisionLog;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Registry of the backend servers of all services, as known to this host.
 *
 * <p>Updates are applied as they come; the caller orders them. {@link #ready} does not return draining or removed servers.
 * Confined to the loop's thread.
 */
public final class BackendRegistry {
    private final DecisionLog log;
    private final Map<String, BackendServerState> servers = new HashMap<>();
    private final CrashingRequests crashingRequests;
    private final CrashingPrompts crashingPrompts;
    private final EvacuatedZones evacuatedZones;
    private Consumer<BackendServerState> updateListener = _server -> {};

    /** Creates an empty registry. */
    public BackendRegistry(Loop loop, DecisionLog log) {
        this.log = log;
        this.crashingRequests = new CrashingRequests(loop, log);
        this.crashingPrompts = new CrashingPrompts(loop, log, this::addressCount);
        this.evacuatedZones = new EvacuatedZones(loop, log);
    }

    /** Sets a listener that is called with a server after each update of its entry. */
    public void onUpdate(Consumer<BackendServerState> listener) {
        updateListener = listener;
    }

    /** Adds or updates a server. */
    public void update(BackendRegistration entry, StoreRevision revision) {
        apply(entry, revision);
        updateListener.accept(servers.get(entry.id()));
    }

    private void apply(BackendRegistration entry, StoreRevision revision) {
        BackendServerState known = servers.get(entry.id());
        if (known == null
                || known.entry().startedAtMillis() != entry.startedAtMillis()
                || !known.entry().address().equals(entry.address())) {
            recordServerDown(known);
            BackendServerState started = new BackendServerState(entry, revision);
            servers.put(entry.id(), started);
            crashingPrompts.onStart(started);
            logChange(entry, revision, known == null ? "joined" : "restarted");
            return;
        }
        if (known.entry().draining() != entry.draining() || known.isMissing()) {
            logChange(entry, revision, entry.draining() ? "draining" : "ready");
        }
        known.update(entry, revision);
    }

    /**
     * Takes a known server out of use whose entry can no longer be read. Its requests in progress continue, as they do while it
     * drains.
     */
    public void withdraw(String id, StoreRevision revision) {
        find(id).filter(server -> !server.entry().draining()).ifPresent(server -> {
            server.update(server.entry().asDraining(), revision);
            logChange(server.entry(), revision, "withdrawn");
        });
    }

    /** Removes a server, if it is known. */
    public void remove(String id, StoreRevision revision) {
        BackendServerState known = servers.remove(id);
        if (known != null) {
            recordServerDown(known);
            logChange(known.entry(), revision, "gone");
        }
    }

    private void recordServerDown(BackendServerState ended) {
        if (ended != null && !ended.entry().draining()) {
            crashingRequests.onServerDown(ended);
            crashingPrompts.onLeave(ended);
        }
    }

    // A server that crashed is known for a while beside the one that has started at its address.
    private int addressCount() {
        return (int) servers.values().stream()
                .map(server -> server.entry().address())
                .distinct()
                .count();
    }

    /** Returns what is known of requests that crash servers. */
    public CrashingRequests crashingRequests() {
        return crashingRequests;
    }

    /** Returns what is known of prompt parts that crash servers. */
    public CrashingPrompts crashingPrompts() {
        return crashingPrompts;
    }

    /** Returns the zones to which no request may be sent. */
    public EvacuatedZones evacuatedZones() {
        return evacuatedZones;
    }

    /** Evacuates a zone; returns the number of known servers in it. */
    long evacuate(String zone, StoreRevision revision) {
        long zoneServers = inZone(zone).size();
        evacuatedZones.begin(zone, zoneServers, revision);
        return zoneServers;
    }

    /** Ends the evacuation of a zone. */
    void endEvacuation(String zone, StoreRevision revision) {
        evacuatedZones.end(zone, inZone(zone).size(), revision);
    }

    /** Returns the servers of a zone. */
    public List<BackendServerState> inZone(String zone) {
        return servers.values().stream()
                .filter(server -> server.entry().availabilityZone().equals(zone))
                .toList();
    }

    /** Returns the server with an ID. */
    public Optional<BackendServerState> find(String id) {
        return Optional.ofNullable(servers.get(id));
    }

    /** Returns the servers of a service that accept new requests. */
    public List<BackendServerState> ready(String service) {
        return servers.values().stream()
                .filter(server -> server.entry().service().equals(service)
                        && !server.entry().draining())
                .toList();
    }

    /** Returns all servers. */
    public Collection<BackendServerState> all() {
        return List.copyOf(servers.values());
    }

    private void logChange(BackendRegistration entry, StoreRevision revision, String state) {
        log.stateChange("backend_server", line -> line.with("backend_id", entry.id())
                .with("service", entry.service())
                .with("address", entry.address())
                .with("version", entry.version())
                .with("revision", revision.number())
                .with("outcome", state));
    }
}
