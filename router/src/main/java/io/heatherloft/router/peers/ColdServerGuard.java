package io.heatherloft.router.peers;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.route.ColdServerBound;
import io.heatherloft.domain.route.ColdServers;
import io.heatherloft.domain.route.ColdServers.Source;
import io.heatherloft.domain.route.RecentPriorities;
import io.heatherloft.domain.route.ServiceDefinition;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.fleet.BackendRegistry;
import io.heatherloft.router.fleet.BackendServerState;
import io.heatherloft.router.log.DecisionLog;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Keeps cold backend servers from more requests than they withstand from all hosts together.
 *
 * <p>Does nothing without a bound, and for services whose configuration names no rate for cold servers. Confined to the
 * loop's thread.
 */
public final class ColdServerGuard {
    private static final long TICK_MILLIS = 500L;
    // Bounds the connections that a host opens while many servers are down.
    private static final int MAX_CHECKS_PER_TICK = 4;
    // Lists of hosts change by gossip, whose rounds are longer.
    private static final long MAX_HOSTS_AGE_MILLIS = 100L;
    private static final long RETURN_SPREAD_MILLIS = 500L;
    // Another host may have a token when this host has none.
    private static final long MAX_RETURN_MILLIS = 1_000L;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Loop loop;
    private final HostReports reports;
    private final BackendRegistry registry;
    private final Function<String, Optional<ServiceDefinition>> services;
    private final DecisionLog log;
    private final Optional<ColdServers> coldServers;
    private final RecentPriorities priorities = new RecentPriorities();
    private final Map<String, Long> evacuationEndMillis = new HashMap<>();
    private final Counter withheld;
    private Consumer<BackendServerState> upCheck = _server -> {};
    private long hostsReadMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a guard that follows the registry's servers.
     *
     * @param services returns the configuration of a service
     * @param bound bound on the requests to a cold server; without one, nothing is guarded
     * @param self name of this host
     */
    public ColdServerGuard(
            Loop loop,
            HostReports reports,
            BackendRegistry registry,
            Function<String, Optional<ServiceDefinition>> services,
            Optional<ColdServerBound> bound,
            String self,
            DecisionLog log,
            MetricRegistry metrics) {
        this.loop = loop;
        this.reports = reports;
        this.registry = registry;
        this.services = services;
        this.log = log;
        this.coldServers = bound.map(present -> new ColdServers(StableHash.of(self), present, loop.nowMillis()));
        this.withheld = metrics.counter("cold_sends_withheld_total");
        metrics.gauge(
                "servers_cold",
                () -> () -> registry.all().stream().filter(this::isCold).count());
        if (bound.isPresent()) {
            registry.onUpdate(this::onEntry);
            Loop.Cancellation _running = loop.repeat(TICK_MILLIS, this::tick);
        }
    }

    /** Sets how to find out without a request whether a server is up, which {@link #onConnected} reports. */
    public void useUpCheck(Consumer<BackendServerState> newUpCheck) {
        upCheck = newUpCheck;
    }

    private void tick() {
        long now = loop.nowMillis();
        coldServers.ifPresent(cold -> {
            readHosts(cold);
            registry.all().stream()
                    .filter(server -> !registry.evacuatedZones().contains(server))
                    .filter(server -> cold.isCheckDue(server.idHash(), now))
                    .limit(MAX_CHECKS_PER_TICK)
                    .forEach(upCheck);
        });
    }

    private void readHosts(ColdServers cold) {
        long now = loop.nowMillis();
        if (now - hostsReadMillis >= MAX_HOSTS_AGE_MILLIS) {
            hostsReadMillis = now;
            cold.updateHosts(
                    reports.remembered().stream()
                            .mapToLong(report -> StableHash.of(report.getHost()))
                            .toArray(),
                    now);
        }
    }

    private Optional<ServiceDefinition> guarded(BackendServerState server) {
        return coldServers
                .flatMap(_cold -> services.apply(server.entry().service()))
                .filter(service -> service.coldRequestsPerSecond() > 0);
    }

    private long coldStartMillis(BackendServerState server) {
        return guarded(server).map(ServiceDefinition::coldStartMillis).orElse(0L);
    }

    private boolean isCold(BackendServerState server) {
        return guarded(server).isPresent() && coldServers.orElseThrow().isCold(server.idHash(), loop.nowMillis());
    }

    private void onEntry(BackendServerState server) {
        record(
                server,
                Source.ENTRY,
                cold -> cold.recordEntry(
                        server.idHash(), server.entry().coldMillis(), coldStartMillis(server), loop.nowMillis()));
        Long endMillis = evacuationEndMillis.get(server.entry().availabilityZone());
        if (endMillis != null) {
            onEvacuationEnded(server, endMillis);
        }
    }

    /** Records that the evacuation of an availability zone has ended, so that its servers may just be starting. */
    public void onEvacuationEnded(String zone) {
        long now = loop.nowMillis();
        if (coldServers.isPresent()) {
            evacuationEndMillis.put(zone, now);
            registry.inZone(zone).forEach(server -> onEvacuationEnded(server, now));
        }
    }

    private void onEvacuationEnded(BackendServerState server, long endMillis) {
        guarded(server).ifPresent(service -> {
            long untilMillis = endMillis + service.coldStartMillis() + ColdServers.MARGIN_MILLIS;
            if (untilMillis > loop.nowMillis()) {
                record(
                        server,
                        Source.EVACUATION,
                        cold -> cold.recordEvacuationEnd(server.idHash(), untilMillis, loop.nowMillis()));
            }
        });
    }

    /**
     * Records that a server has responded.
     *
     * @param coldMillis time for which the response says that the server will be cold
     */
    public void onResponse(BackendServerState server, OptionalLong coldMillis) {
        if (coldMillis.isPresent()) {
            record(
                    server,
                    Source.RESPONSE,
                    cold -> cold.recordStatement(
                            server.idHash(), coldMillis.getAsLong(), coldStartMillis(server), loop.nowMillis()));
        } else {
            onConnected(server);
        }
    }

    /** Records that a server accepts connections. */
    public void onConnected(BackendServerState server) {
        guarded(server).ifPresent(service -> coldServers
                .orElseThrow()
                .recordUp(server.idHash(), service.coldStartMillis(), loop.nowMillis()));
    }

    /** Records that a server could not be reached or broke off a response. */
    public void onFailure(BackendServerState server) {
        guarded(server)
                .ifPresent(service -> record(
                        server,
                        Source.FAILURE,
                        cold -> cold.recordFailure(server.idHash(), service.coldStartMillis(), loop.nowMillis())));
    }

    /** Forgets the failures of servers, which were those of this host's links. */
    public void forgetFailures() {
        coldServers.ifPresent(ColdServers::forgetFailures);
    }

    private void record(BackendServerState server, Source source, Predicate<ColdServers> change) {
        coldServers.filter(change).ifPresent(cold -> guarded(server).ifPresent(service -> {
            readHosts(cold);
            double rate = service.coldRequestsPerSecond();
            // Begins to earn tokens.
            boolean _usable = cold.mayUse(server.idHash(), rate, loop.nowMillis());
            log.stateChange(
                    "cold_server", line -> line.with("server", server.entry().id())
                            .with("cold_ms", cold.remainingMillis(server.idHash(), loop.nowMillis()))
                            .with("source", source.name().toLowerCase(java.util.Locale.ROOT))
                            .with("holder", cold.isHolder(server.idHash(), rate)));
        }));
    }

    /**
     * Returns those servers that this host may send a request now. If no warm server has capacity, cold ones are left to the
     * requests of the highest priority among the recent ones.
     *
     * @param servers servers of the service that can run the request
     * @param otherLoads requests in progress of other hosts by server ID
     */
    public List<BackendServerState> usable(
            String service, int priority, List<BackendServerState> servers, Map<String, Integer> otherLoads) {
        Optional<ServiceDefinition> guarded = coldServers
                .flatMap(_cold -> services.apply(service))
                .filter(definition -> definition.coldRequestsPerSecond() > 0);
        if (guarded.isEmpty()) {
            return servers;
        }
        long now = loop.nowMillis();
        ColdServers cold = coldServers.orElseThrow();
        priorities.record(service, priority, now);
        if (servers.stream().noneMatch(server -> cold.isCold(server.idHash(), now))) {
            return servers;
        }
        readHosts(cold);
        boolean mayTakeToken = priorities.isHighest(service, priority, now)
                || servers.stream()
                        .filter(server -> !cold.isCold(server.idHash(), now))
                        .filter(server -> server.health().isAvailable(now))
                        .anyMatch(server -> server.outstanding()
                                        + otherLoads.getOrDefault(server.entry().id(), 0)
                                < server.entry().slots());
        double rate = guarded.get().coldRequestsPerSecond();
        List<BackendServerState> usable = servers.stream()
                .filter(server ->
                        !cold.isCold(server.idHash(), now) || (cold.mayUse(server.idHash(), rate, now) && mayTakeToken))
                .toList();
        if (usable.size() < servers.size()) {
            withheld.inc();
        }
        return usable;
    }

    /** Returns true if this host may send a server a request now, whatever its priority. */
    public boolean mayUse(BackendServerState server) {
        Optional<ServiceDefinition> guarded = guarded(server);
        if (guarded.isEmpty() || !isCold(server)) {
            return true;
        }
        ColdServers cold = coldServers.orElseThrow();
        readHosts(cold);
        return cold.mayUse(server.idHash(), guarded.get().coldRequestsPerSecond(), loop.nowMillis());
    }

    /** Records that a request is sent to a server. */
    public void onSend(BackendServerState server) {
        coldServers.ifPresent(cold -> cold.recordSend(server.idHash()));
    }

    /** Returns true if one of the servers is cold, so that a request may have been kept from it. */
    public boolean isAnyCold(List<BackendServerState> servers) {
        return servers.stream().anyMatch(this::isCold);
    }

    /**
     * Returns the time after which a caller should send a request again that was refused because of cold servers. Callers get
     * different times, so that they do not all come back for the first token.
     *
     * @param attemptId attempt ID of the request
     */
    public double secondsUntilUsable(List<BackendServerState> servers, String attemptId) {
        long waitMillis = servers.stream()
                .filter(this::isCold)
                .mapToLong(server -> coldServers
                        .orElseThrow()
                        .waitMillis(
                                server.idHash(),
                                guarded(server).orElseThrow().coldRequestsPerSecond(),
                                loop.nowMillis()))
                .min()
                .orElse(0);
        long spreadMillis = Math.floorMod(StableHash.of(attemptId), RETURN_SPREAD_MILLIS);
        return (Math.min(MAX_RETURN_MILLIS, waitMillis) + 1 + spreadMillis) / MILLIS_PER_SECOND;
    }
}
