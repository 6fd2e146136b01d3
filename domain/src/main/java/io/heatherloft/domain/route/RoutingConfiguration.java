package io.heatherloft.domain.route;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * A version of the routing configuration, indexed for lookup.
 *
 * <p>Immutable and thread-safe.
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
     * @param keyHolders API keys with the workspaces that own them
     * @param keysRequired true if requests on routes that are not anonymous need an API key
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

    /** Returns the version number, which increases with each configuration. */
    public long version() {
        return version;
    }

    /** Returns the limits on callers' requests. */
    public CallerLimits limits() {
        return limits;
    }

    /** Returns true if requests on routes that are not anonymous need an API key. */
    public boolean keysRequired() {
        return keysRequired;
    }

    /** Returns the route of the host name with the longest prefix of the path. */
    public Optional<Route> findRoute(String hostName, String path) {
        return routesByHostName.getOrDefault(hostName, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /** Returns the workspace that owns an API key. */
    public Optional<KeyHolder> findKeyHolder(String key) {
        return Optional.ofNullable(keyHolders.get(key));
    }

    /** Returns the definition of a service. */
    public Optional<ServiceDefinition> findService(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the number of routes. */
    public int routeCount() {
        return routesByHostName.values().stream().mapToInt(List::size).sum();
    }
}
