package io.heatherloft.router.peers;

import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.route.BackendSelector;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.fleet.BackendServerState;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** The ways of choosing a server that are compared. Each is confined to its fleet's thread. */
final class ServerChoices {
    private ServerChoices() {}

    /** What a host knows of the requests in progress on a server, its own included. */
    interface Knowledge {
        Loads loads(LoadedFleet fleet, LoadedFleet.Host host);
    }

    /** Requests in progress on a server. */
    interface Loads {
        double of(LoadedFleet.Server server, BackendServerState state);
    }

    /** The choice among servers whose loads are known. */
    interface Decision {
        int choose(LoadedFleet fleet, LoadedFleet.Host host, LoadedFleet.Request request, Loads loads);
    }

    static Loads gossip(LoadedFleet _fleet, LoadedFleet.Host host) {
        Map<String, Integer> others = host.member.reports.outstandingByBackend();
        return (_server, state) ->
                state.outstanding() + others.getOrDefault(state.entry().id(), 0);
    }

    static Loads all(LoadedFleet _fleet, LoadedFleet.Host _host) {
        return (server, _state) -> server.inProgress;
    }

    static Loads own(LoadedFleet _fleet, LoadedFleet.Host _host) {
        return (_server, state) -> state.outstanding();
    }

    static LoadedFleet.Choice of(Knowledge knowledge, Decision decision) {
        return (fleet, host, request, send) ->
                send.accept(decision.choose(fleet, host, request, knowledge.loads(fleet, host)));
    }

    /** Two servers are asked for their counts: the one of the decision, and the one that it gives without the first. */
    static LoadedFleet.Choice askingTwo(Decision decision) {
        return (fleet, host, request, send) -> {
            int first = decision.choose(fleet, host, request, gossip(fleet, host));
            request.tried.add(first);
            int second = decision.choose(fleet, host, request, gossip(fleet, host));
            request.tried.remove(first);
            Map<Integer, Integer> counts = new HashMap<>();
            for (int asked : List.of(first, second)) {
                // Two addresses, an ID and a count, in both directions.
                fleet.gossip.countMessage(60);
                fleet.gossip.countMessage(60);
                fleet.gossip.loop.schedule(fleet.gossip.networkDelayMillis(), () -> {
                    int count = fleet.servers.get(asked).held();
                    fleet.gossip.loop.schedule(fleet.gossip.networkDelayMillis(), () -> {
                        counts.put(asked, count);
                        if (counts.size() == 2) {
                            int slots = fleet.shape.slots();
                            send.accept(
                                    counts.get(first) < slots || counts.get(first) <= counts.get(second)
                                            ? first
                                            : second);
                        }
                    });
                });
            }
        };
    }

    private static List<LoadedFleet.Server> usable(LoadedFleet fleet, LoadedFleet.Request request) {
        return fleet.servers.stream()
                .filter(server -> server.present && !request.tried.contains(server.index))
                .toList();
    }

    /** The present decision, with the candidates of the request engine. */
    static int present(LoadedFleet fleet, LoadedFleet.Host host, LoadedFleet.Request request, Loads loads) {
        return present(usable(fleet, request), host, request, loads, _state -> 1);
    }

    /** The present decision with the learned speeds of the servers. */
    static int withSpeeds(LoadedFleet fleet, LoadedFleet.Host host, LoadedFleet.Request request, Loads loads) {
        return present(usable(fleet, request), host, request, loads, host.member.reports::responseTimeFactor);
    }

    private static int present(
            List<LoadedFleet.Server> servers,
            LoadedFleet.Host host,
            LoadedFleet.Request request,
            Loads loads,
            ToDoubleFunction<BackendServerState> responseTimeFactor) {
        List<BackendSelector.Candidate<Integer>> candidates = servers.stream()
                .map(server -> {
                    BackendServerState state = host.state(server.index);
                    return new BackendSelector.Candidate<>(
                            server.index,
                            state.idHash(),
                            loads.of(server, state),
                            state.pendingPromptTokens(),
                            state.entry().slots(),
                            state.hasRecentPrefix(request.prefix),
                            true,
                            0,
                            responseTimeFactor.applyAsDouble(state));
                })
                .toList();
        return BackendSelector.choose(candidates, request.prefixHash, request.kind.sharedTokens())
                .orElseThrow();
    }

    /** Each host uses a subset of the servers, by rendezvous hashing of host and server. */
    static Decision subset(int size) {
        return (fleet, host, request, loads) -> {
            long hostHash = StableHash.of(host.member.name);
            List<LoadedFleet.Server> preferred = usable(fleet, request).stream()
                    .sorted(Comparator.comparingLong(
                            server -> -(StableHash.mix(host.state(server.index).idHash(), hostHash) >>> 1)))
                    .limit(size)
                    .toList();
            return present(preferred, host, request, loads, _state -> 1);
        };
    }

    /**
     * A prefix has a few home servers, in an order by rendezvous hashing: the first whose known load is below a part of its slots,
     * or else the least loaded one.
     */
    static Decision homes(int count, double limit) {
        return (fleet, host, request, loads) -> {
            List<LoadedFleet.Server> usable = usable(fleet, request);
            List<LoadedFleet.Server> homes = usable.stream()
                    .sorted(Comparator.comparingLong(
                            server -> -(StableHash.mix(host.state(server.index).idHash(), request.prefixHash) >>> 1)))
                    .limit(count)
                    .toList();
            ToDoubleFunction<LoadedFleet.Server> load = server -> loads.of(server, host.state(server.index))
                    / host.state(server.index).entry().slots();
            return homes.stream()
                    .filter(server -> load.applyAsDouble(server) < limit)
                    .findFirst()
                    .orElseGet(() ->
                            homes.stream().min(Comparator.comparingDouble(load)).orElseThrow())
                    .index;
        };
    }

    /** Gossip whose counts lose weight with their age, so that old ones need not be left out. */
    static Knowledge weightedByAge(double millis) {
        return (_fleet, host) -> {
            Map<String, Double> others = new HashMap<>();
            host.member.reports.newest(Integer.MAX_VALUE).forEach(report -> report.getLoadsList()
                    .forEach(load -> others.merge(
                            load.getBackendId(),
                            load.getOutstanding() * Math.exp(-report.getAgeMillis() / millis),
                            Double::sum)));
            return (_server, state) ->
                    state.outstanding() + others.getOrDefault(state.entry().id(), 0.0);
        };
    }

    /** Loads of all hosts as they were some time ago, and the host's own. */
    static final class Delayed implements Knowledge {
        private final long delayMillis;
        private final Deque<int[][]> history = new ArrayDeque<>();
        private LoadedFleet known;

        Delayed(long delayMillis) {
            this.delayMillis = delayMillis;
        }

        @Override
        public Loads loads(LoadedFleet fleet, LoadedFleet.Host host) {
            if (known != fleet) {
                known = fleet;
                history.clear();
                Loop.Cancellation _timer = fleet.gossip.loop.repeat(50, () -> {
                    history.add(fleet.hosts.stream()
                            .map(other -> fleet.servers.stream()
                                    .mapToInt(
                                            server -> other.state(server.index).outstanding())
                                    .toArray())
                            .toArray(int[][]::new));
                    while (history.size() > 1 + delayMillis / 50) {
                        history.poll();
                    }
                });
            }
            int[][] old = history.isEmpty() ? new int[fleet.shape.hosts()][fleet.shape.servers()] : history.peek();
            return (server, state) -> {
                int sum = state.outstanding();
                for (int other = 0; other < old.length; other++) {
                    sum += other == host.index ? 0 : old[other][server.index];
                }
                return sum;
            };
        }
    }
}
