package io.heatherloft.router.request;

import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.route.BackendSelector;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.fleet.BackendRegistry;
import io.heatherloft.router.fleet.BackendServerState;
import io.heatherloft.router.fleet.VersionPolicies;
import io.heatherloft.router.fleet.VersionPolicy;
import io.heatherloft.router.peers.ColdServerGuard;
import io.heatherloft.router.peers.HostReports;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Selects the backend server for each attempt, from this host's current view of the fleet.
 *
 * <p>Confined to the loop's thread.
 */
final class AttemptBackendSelector {
    private static final long RETURN_SPREAD_MILLIS = 1_000L;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Loop loop;
    private final BackendRegistry registry;
    private final VersionPolicies versionPolicies;
    private final HostReports hostReports;
    private final ColdServerGuard coldServers;
    private final String availabilityZone;

    AttemptBackendSelector(
            Loop loop,
            BackendRegistry registry,
            VersionPolicies versionPolicies,
            HostReports hostReports,
            ColdServerGuard coldServers,
            String availabilityZone) {
        this.loop = loop;
        this.registry = registry;
        this.versionPolicies = versionPolicies;
        this.hostReports = hostReports;
        this.coldServers = coldServers;
        this.availabilityZone = availabilityZone;
    }

    /** Returns why no server of a service may be used now. */
    RefusalReason reasonForNoServer(String service) {
        List<BackendServerState> servers = usable(service);
        if (servers.isEmpty()) {
            return staying(service).isEmpty() ? RefusalReason.NO_BACKEND : RefusalReason.ZONE_EVACUATED;
        }
        if (isAtRest(servers)) {
            return RefusalReason.SERVERS_AT_REST;
        }
        return coldServers.isAnyCold(withinLimits(servers))
                ? RefusalReason.SERVERS_COLD
                : RefusalReason.SERVERS_AT_LIMIT;
    }

    private List<BackendServerState> usable(String service) {
        return staying(service).stream()
                .filter(server -> !registry.evacuatedZones().contains(server))
                .toList();
    }

    private List<BackendServerState> staying(String service) {
        return hostReports.serverNotices().staying(registry.ready(service));
    }

    private List<BackendServerState> withinLimits(List<BackendServerState> servers) {
        return servers.stream().filter(hostReports.serverNotices()::mayUse).toList();
    }

    private boolean isAtRest(List<BackendServerState> servers) {
        return servers.stream().allMatch(server -> hostReports.serverNotices().remainingRestMillis(server) > 0);
    }

    /**
     * Returns the time after which a caller should send a request again that was refused because all servers are at rest. Callers
     * get different times, so that they do not all come back when the first rest ends.
     */
    double secondsUntilRestEnds(String service, RequestMetadata metadata) {
        long restMillis = usable(service).stream()
                .mapToLong(hostReports.serverNotices()::remainingRestMillis)
                .min()
                .orElse(0);
        long spreadMillis = Math.floorMod(StableHash.of(metadata.attemptId().orElse("")), RETURN_SPREAD_MILLIS);
        return (restMillis + spreadMillis) / MILLIS_PER_SECOND;
    }

    /** Returns the time after which a caller should send a request again that was refused because servers are cold. */
    double secondsUntilColdServerUsable(String service, RequestMetadata metadata) {
        return coldServers.secondsUntilUsable(
                withinLimits(usable(service)), metadata.attemptId().orElse(""));
    }

    /**
     * Returns the server for the next attempt; empty if the service has no server, this host no share of the limits of its
     * servers left, or all are cold and this host has no token for one.
     *
     * @param priority priority of the request, 0 being the highest
     * @param triedServers servers that have failed this request; they, and servers of a suspect version, are selected
     *     only if there is no other
     */
    Optional<Selection> select(String service, RequestMetadata metadata, int priority, TriedServers triedServers) {
        long now = loop.nowMillis();
        List<BackendServerState> ready = usable(service);
        VersionPolicy.VersionPreference preference = preference(service, metadata, versionsOf(ready));
        Map<String, Integer> otherLoads = hostReports.outstandingByBackend();
        List<BackendServerState> eligible =
                eligible(service, priority, ready, versionsInOrder(preference, triedServers), otherLoads);
        List<BackendServerState> untried = eligible.stream()
                .filter(server -> !triedServers.contains(server.entry().id()))
                .toList();
        List<BackendServerState> healthy = untried.stream()
                .filter(server -> server.health().isAvailable(now))
                .toList();
        return Stream.of(healthy, untried, eligible)
                .filter(servers -> !servers.isEmpty())
                .findFirst()
                .flatMap(servers -> selectAmong(servers, metadata, otherLoads))
                .map(server -> new Selection(server, preference.reason()));
    }

    private VersionPolicy.VersionPreference preference(
            String service, RequestMetadata metadata, Set<String> availableVersions) {
        return versionPolicies
                .of(service)
                .preference(metadata.session(), metadata.attemptId().orElse(""), availableVersions, loop.nowMillis());
    }

    // Passes on to the next allowed version if this host may use none of the servers because they are cold, as those of
    // a new version are at first.
    private List<BackendServerState> eligible(
            String service,
            int priority,
            List<BackendServerState> ready,
            List<String> versions,
            Map<String, Integer> otherLoads) {
        for (String version : versions) {
            List<BackendServerState> servers = withinLimits(ready.stream()
                    .filter(server -> server.entry().version().equals(version))
                    .toList());
            List<BackendServerState> usable = coldServers.usable(service, priority, servers, otherLoads);
            if (!usable.isEmpty() || servers.isEmpty()) {
                return usable;
            }
        }
        return List.of();
    }

    private static List<String> versionsInOrder(VersionPolicy.VersionPreference preference, TriedServers triedServers) {
        return preference.versions().stream()
                .sorted(Comparator.comparing(triedServers::isVersionSuspect))
                .toList();
    }

    private static Optional<String> preferredVersion(
            VersionPolicy.VersionPreference preference, TriedServers triedServers) {
        return versionsInOrder(preference, triedServers).stream().findFirst();
    }

    private static Set<String> versionsOf(List<BackendServerState> servers) {
        return servers.stream().map(server -> server.entry().version()).collect(Collectors.toSet());
    }

    /**
     * The servers of a service at one moment, for decisions on several requests.
     *
     * @param versions versions of all servers that may be used
     * @param usable these servers
     * @param healthy servers that may be used, are healthy, and have a share of their limits or of their cold rate left for this
     *     host
     */
    record View(
            String service, Set<String> versions, List<BackendServerState> usable, List<BackendServerState> healthy) {}

    View view(String service) {
        long now = loop.nowMillis();
        List<BackendServerState> usable = usable(service);
        return new View(
                service,
                versionsOf(usable),
                usable,
                usable.stream()
                        .filter(server -> server.health().isAvailable(now))
                        .filter(hostReports.serverNotices()::mayUse)
                        .filter(coldServers::mayUse)
                        .toList());
    }

    /** Version of the servers that a request uses, and why it was preferred. */
    record Version(Optional<String> name, VersionPolicy.Reason reason) {
        boolean isOf(BackendServerState server) {
            return name.filter(server.entry().version()::equals).isPresent();
        }
    }

    Version versionFor(View view, RequestMetadata metadata, TriedServers triedServers) {
        VersionPolicy.VersionPreference preference = preference(view.service(), metadata, view.versions());
        return new Version(preferredVersion(preference, triedServers), preference.reason());
    }

    /** Returns the best of servers that have capacity for a request; empty if there are none. */
    Optional<Selection> selectAmong(List<BackendServerState> servers, RequestMetadata metadata, Version version) {
        return servers.isEmpty()
                ? Optional.empty()
                : selectAmong(servers, metadata, hostReports.outstandingByBackend())
                        .map(server -> new Selection(server, version.reason()));
    }

    /**
     * The server selected for an attempt.
     *
     * @param versionReason why its version was preferred; a version that is suspect is passed over whatever the reason
     */
    record Selection(BackendServerState server, VersionPolicy.Reason versionReason) {}

    /**
     * Records the time that a server took to begin its answer.
     *
     * @param kind service, route and model of the request
     * @param firstByteMillis time from the send to the first byte, or the first event of a stream
     */
    void recordResponseTime(BackendServerState server, String kind, long firstByteMillis) {
        hostReports.serverSpeeds().recordResponse(server.incarnationHash(), kind, firstByteMillis, loop.nowMillis());
    }

    private Optional<BackendServerState> selectAmong(
            List<BackendServerState> servers, RequestMetadata metadata, Map<String, Integer> otherLoads) {
        Optional<String> sharedPrefixId = metadata.sharedPrefixId();
        long hash = StableHash.of(sharedPrefixId.or(metadata::attemptId).orElse(""));
        boolean largeFleet = hostReports.isLargeFleet();
        List<BackendSelector.Candidate<BackendServerState>> candidates = servers.stream()
                .map(server -> toCandidate(server, sharedPrefixId, otherLoads, largeFleet))
                .toList();
        return BackendSelector.choose(candidates, hash, metadata.sharedPrefixTokens());
    }

    private BackendSelector.Candidate<BackendServerState> toCandidate(
            BackendServerState server,
            Optional<String> sharedPrefixId,
            Map<String, Integer> otherLoads,
            boolean largeFleet) {
        return new BackendSelector.Candidate<>(
                server,
                server.idHash(),
                server.outstanding() + otherLoads.getOrDefault(server.entry().id(), 0),
                server.pendingPromptTokens(),
                server.entry().slots(),
                sharedPrefixId.map(server::hasRecentPrefix).orElse(false),
                server.entry().availabilityZone().equals(availabilityZone),
                server.health().failureRate(),
                largeFleet ? hostReports.responseTimeFactor(server) : 1);
    }
}
