package io.heatherloft.domain.route;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * One version of the routing configuration, indexed for lookups.
 *
 * <p>Immutable and safe for use by several threads.
 */
public final class RoutingConfiguration {
    private final long version;
    private final Map<String, List<Route>> routesByHostName;
    private final Map<String, ServiceDefinition> services;
    private final CallerLimits limits;
    private final Map<String, KeyHolder> keyHolders;
    private final boolean keysRequired;

    /**
     * Creates a configuration.
     *
     * @param keyHolders workspace of each API key
     * @param keysRequired true if requests on routes that are not anonymous need a key
     */
    public RoutingConfiguration(
            long version,
            List<Route> routes,
            List<ServiceDefinition> services,
            CallerLimits limits,
            Map<String, KeyHolder> keyHolders,
            boolean keysRequired) {
        this.version = version;
        this.routesByHostName = routes.stream()
                .sorted(Comparator.comparingInt(
                                (Route route) -> route.pathPrefix().length())
                        .reversed())
                .collect(Collectors.groupingBy(Route::hostName));
        this.services = services.stream()
                .collect(Collectors.toUnmodifiableMap(
                        ServiceDefinition::name, service -> service, (first, _second) -> first));
        this.limits = limits;
        this.keyHolders = Map.copyOf(keyHolders);
        this.keysRequired = keysRequired;
    }

    /** Returns the number that rises with each configuration. */
    public long version() {
        return version;
    }

    /** Returns the limits on callers. */
    public CallerLimits limits() {
        return limits;
    }

    /** Returns true if requests on routes that are not anonymous need a key. */
    public boolean keysRequired() {
        return keysRequired;
    }

    /** Returns the route of the longest prefix that begins the path. */
    public Optional<Route> findRoute(String hostName, String path) {
        return routesByHostName.getOrDefault(hostName, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /** Returns the workspace that holds a key. */
    public Optional<KeyHolder> findKeyHolder(String key) {
        return Optional.ofNullable(keyHolders.get(key));
    }

    /** Returns a service's definition. */
    public Optional<ServiceDefinition> findService(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the number of routes. */
    public int routeCount() {
        return routesByHostName.values().stream().mapToInt(List::size).sum();
    }
}
