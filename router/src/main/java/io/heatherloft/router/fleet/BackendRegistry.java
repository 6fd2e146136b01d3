package io.heatherloft.router.fleet;

import io.heatherloft.domain.route.BackendRegistration;
import io.heatherloft.domain.route.CrashingRequestDetector;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.log.DecisionLog;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The backend servers of all services as this host knows them.
 *
 * <p>Invariants: a later revision of an entry replaces an earlier one, never the reverse; a server that is leaving or
 * gone is not offered. Confined to the loop's thread.
 */
public final class BackendRegistry {
    private final Loop loop;
    private final DecisionLog log;
    private final Map<String, BackendServerState> servers = new HashMap<>();
    private final CrashingRequestDetector crashSuspects = new CrashingRequestDetector();
    private final Map<String, Long> removedRevisions = new HashMap<>();

    /** Creates an empty registry. */
    public BackendRegistry(Loop loop, DecisionLog log) {
        this.loop = loop;
        this.log = log;
    }

    /** Takes what a server said of itself at a revision of the store. */
    public void update(BackendRegistration entry, long revision) {
        BackendServerState known = servers.get(entry.id());
        long seen = Math.max(known == null ? 0 : known.revision(), removedRevisions.getOrDefault(entry.id(), 0L));
        if (revision <= seen) {
            return;
        }
        if (known == null
                || known.entry().startedAtMillis() != entry.startedAtMillis()
                || !known.entry().address().equals(entry.address())) {
            onEnd(known);
            servers.put(entry.id(), new BackendServerState(entry, revision));
            logChange(entry, revision, known == null ? "joined" : "restarted");
            return;
        }
        if (known.entry().draining() != entry.draining() || known.isMissing()) {
            logChange(entry, revision, entry.draining() ? "draining" : "ready");
        }
        known.update(entry, revision);
    }

    /** Takes the removal of a server's entry at a revision of the store. */
    public void remove(String id, long revision) {
        BackendServerState known = servers.get(id);
        if (known != null && revision > known.revision()) {
            servers.remove(id);
            onEnd(known);
            removedRevisions.put(id, revision);
            logChange(known.entry(), revision, "gone");
        }
    }

    private void onEnd(BackendServerState ended) {
        if (ended != null && !ended.entry().draining()) {
            crashSuspects.recordServerDown(ended.incarnation(), loop.nowMillis());
        }
    }

    /** Returns the requests that crash servers. */
    public CrashingRequestDetector crashSuspects() {
        return crashSuspects;
    }

    /** Returns the server with an identity. */
    public Optional<BackendServerState> find(String id) {
        return Optional.ofNullable(servers.get(id));
    }

    /** Returns the servers of a service that take new work. */
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

    private void logChange(BackendRegistration entry, long revision, String state) {
        log.belief("backend_server", line -> line.with("backend_id", entry.id())
                .with("service", entry.service())
                .with("address", entry.address())
                .with("version", entry.version())
                .with("revision", revision)
                .with("outcome", state));
    }
}
