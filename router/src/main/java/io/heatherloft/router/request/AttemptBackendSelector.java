package io.heatherloft.router.request;

import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.route.BackendSelector;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.fleet.BackendRegistry;
import io.heatherloft.router.fleet.BackendServerState;
import io.heatherloft.router.fleet.VersionPolicies;
import io.heatherloft.router.peers.HostReports;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Chooses the backend server of each attempt from what this host knows now.
 *
 * <p>Confined to the loop's thread.
 */
final class AttemptBackendSelector {
    private final Loop loop;
    private final BackendRegistry registry;
    private final VersionPolicies versionPolicies;
    private final HostReports hostReports;
    private final String availabilityZone;

    AttemptBackendSelector(
            Loop loop,
            BackendRegistry registry,
            VersionPolicies versions,
            HostReports reports,
            String availabilityZone) {
        this.loop = loop;
        this.registry = registry;
        this.versionPolicies = versions;
        this.hostReports = reports;
        this.availabilityZone = availabilityZone;
    }

    /**
     * Returns the server for an attempt; empty if none is in use.
     *
     * @param tried servers without success; they, and a version in doubt, are chosen only if there is no other
     */
    Optional<BackendServerState> select(String service, RequestMetadata facts, TriedServers tried) {
        long now = loop.nowMillis();
        List<BackendServerState> ready = registry.ready(service);
        Set<String> present =
                ready.stream().map(server -> server.entry().version()).collect(Collectors.toSet());
        List<String> preferences = versionPolicies.of(service)
                .preferredVersions(facts.session(), facts.attemptId().orElse(""), present, now);
        List<BackendServerState> allowed = preferences.stream()
                .filter(version -> !tried.isVersionSuspect(version))
                .findFirst()
                .or(() -> preferences.stream().findFirst())
                .map(version -> ready.stream()
                        .filter(server -> server.entry().version().equals(version))
                        .toList())
                .orElseGet(List::of);
        List<BackendServerState> fresh = allowed.stream()
                .filter(server -> !tried.contains(server.entry().id()))
                .toList();
        List<BackendServerState> sound = fresh.stream()
                .filter(server -> server.health().isAvailable(now))
                .toList();
        Map<String, Integer> otherLoads = hostReports.outstandingByBackend();
        return Stream.of(sound, fresh, allowed)
                .filter(servers -> !servers.isEmpty())
                .findFirst()
                .flatMap(servers -> selectAmong(servers, facts, otherLoads));
    }

    private Optional<BackendServerState> selectAmong(
            List<BackendServerState> servers, RequestMetadata facts, Map<String, Integer> otherLoads) {
        Optional<String> shared = facts.sharedPrefixId();
        long hash = StableHash.of(shared.or(facts::attemptId).orElse(""));
        List<BackendSelector.Candidate<BackendServerState>> candidates = servers.stream()
                .map(server -> toCandidate(server, shared, otherLoads))
                .toList();
        return BackendSelector.choose(candidates, hash, facts.sharedPrefixTokens());
    }

    private BackendSelector.Candidate<BackendServerState> toCandidate(
            BackendServerState server, Optional<String> shared, Map<String, Integer> otherLoads) {
        return new BackendSelector.Candidate<>(
                server,
                server.idHash(),
                server.outstanding() + otherLoads.getOrDefault(server.entry().id(), 0),
                server.pendingPromptTokens(),
                server.entry().slots(),
                shared.map(server::hasRecentPrefix).orElse(false),
                server.entry().availabilityZone().equals(availabilityZone),
                server.health().failureRate());
    }
}
