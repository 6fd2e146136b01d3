package io.heatherloft.domain.admission;

import io.heatherloft.domain.StableHash;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How much room a server must have for a request of this host, so that hosts that choose the same server between two load
 * reports do not exceed its token capacity together.
 *
 * <p>By rendezvous hashing, each server has one host that may fill it. Other hosts need room for several requests of the same
 * size, so that they use it for small requests, and for large ones only while it is almost empty. A host that may fill no
 * server needs room for two on one of them. Confined to one thread.
 */
public final class TokenRoom {
    // With room for 6, and 6 hosts that send 42 requests a second, a server held 3% more tokens than its capacity.
    private static final int REQUESTS_OF_OTHERS = 16;
    private static final int REQUESTS_WITHOUT_OWN_SERVER = 2;

    private final long self;
    private List<Long> hosts = List.of();
    private List<Long> servers = List.of();
    private Map<Long, Integer> requests = Map.of();

    /** Creates an instance for a host that knows no others; {@code self} is the hash of its name. */
    public TokenRoom(long self) {
        this.self = self;
    }

    /** Sets the hashes of the other hosts' names and of the IDs of the servers. */
    public void update(List<Long> otherHosts, List<Long> serverIds) {
        if (otherHosts.equals(hosts) && serverIds.equals(servers)) {
            return;
        }
        hosts = List.copyOf(otherHosts);
        servers = List.copyOf(serverIds);
        Map<Long, Integer> changed = new HashMap<>();
        servers.forEach(server -> changed.put(server, mayFill(server) ? 1 : REQUESTS_OF_OTHERS));
        if (!changed.containsValue(1)) {
            servers.stream()
                    .max((first, second) -> Long.compare(StableHash.mix(self, first), StableHash.mix(self, second)))
                    .ifPresent(server -> changed.put(server, REQUESTS_WITHOUT_OWN_SERVER));
        }
        requests = changed;
    }

    /** Returns the number of requests of the same size for which a server must have room. */
    public int requestsOn(long serverId) {
        return requests.getOrDefault(serverId, REQUESTS_OF_OTHERS);
    }

    private boolean mayFill(long server) {
        long own = StableHash.mix(self, server);
        return hosts.stream().allMatch(host -> StableHash.mix(host, server) < own);
    }
}
