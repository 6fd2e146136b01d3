package io.heatherloft.domain.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tells from attempts to connect whether this host has lost its own links to the backend servers.
 *
 * <p>A server counts as unreachable from here when a direct connection to it failed and another host could connect to it.
 * The host counts as cut off while this holds for several servers and no direct connection has been established since.
 * Confined to one thread.
 */
public final class ServerReachability {
    // A single server may also be unreachable because of a fault near it.
    private static final int MIN_UNREACHABLE_SERVERS = 2;
    // A server that has not been tried for this time may be reachable again.
    private static final long MEMORY_MILLIS = 10_000L;

    private final Map<String, Long> unreachableSinceMillis = new HashMap<>();

    /** Records that a direct connection to a server was established, which ends a cut. */
    public void recordDirectConnection(String serverId, long nowMillis) {
        if (isCutOff(nowMillis)) {
            unreachableSinceMillis.clear();
        } else {
            unreachableSinceMillis.remove(serverId);
        }
    }

    /** Records that another host could connect to a server to which a direct connection had failed. */
    public void recordReachableByOthers(String serverId, long nowMillis) {
        unreachableSinceMillis.put(serverId, nowMillis);
    }

    /** Returns true if a direct connection to the server is not worth trying. */
    public boolean isUnreachable(String serverId, long nowMillis) {
        forget(nowMillis);
        return isCutOff(nowMillis) || unreachableSinceMillis.containsKey(serverId);
    }

    /** Returns true if this host has lost its links to the backend servers. */
    public boolean isCutOff(long nowMillis) {
        forget(nowMillis);
        return unreachableSinceMillis.size() >= MIN_UNREACHABLE_SERVERS;
    }

    /** Returns true if it should be found out again whether other hosts reach a server that is unreachable from here. */
    public boolean isDueForConfirmation(String serverId, long nowMillis) {
        Long sinceMillis = unreachableSinceMillis.get(serverId);
        return sinceMillis != null && nowMillis - sinceMillis >= MEMORY_MILLIS / 2;
    }

    /** Returns the servers that are unreachable from here, to be probed. */
    public List<String> unreachableServers(long nowMillis) {
        forget(nowMillis);
        return unreachableSinceMillis.keySet().stream().sorted().toList();
    }

    private void forget(long nowMillis) {
        unreachableSinceMillis.values().removeIf(sinceMillis -> nowMillis - sinceMillis >= MEMORY_MILLIS);
    }
}
