package io.heatherloft.router.peers;

import io.heatherloft.domain.rollout.RolloutState;
import io.heatherloft.domain.route.BackendRegistration;
import io.heatherloft.domain.route.CrashRecord;
import io.heatherloft.domain.route.RoutingConfiguration;
import io.heatherloft.router.VirtualLoop;
import io.heatherloft.router.fleet.BackendServerState;
import io.heatherloft.router.fleet.CrashRecorder;
import io.heatherloft.router.fleet.RolloutController;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Hosts, backend servers and an operator around a store that is restored from an older copy, in virtual time.
 *
 * <p>The operator and the servers write again what the store has lost. What hosts get wrong is collected as findings.
 * Confined to the test's thread.
 */
final class RestoredFleet {
    /** Key of the record of a prompt part that crashes servers. */
    static final String CRASH_RECORD_KEY = "hosts/crashes/" + CrashRecord.nameOf(Set.of(0xabL));

    static final long ROLLOUT_MILLIS = 12_000L;

    private static final String SERVICE = TextFormats.SERVICE;
    private static final String CRASHES = IntStream.range(1, 7)
            .mapToObj(server -> "ab " + server + " " + server)
            .collect(Collectors.joining("\n"));
    private static final int SAMPLE_MILLIS = 50;
    private static final int HEARTBEAT_MILLIS = 1_200;
    private static final int EXPIRY_MILLIS = 3 * HEARTBEAT_MILLIS;
    private static final int RETRY_MILLIS = 100;
    private static final int REWRITE_MILLIS = 300;
    private static final int SERVE_AFTER_DRAIN_MILLIS = 2_000;
    // Of the rule on configurations: time for a change to be in force.
    private static final int APPLY_MILLIS = 2_000;
    // Of the rule on draining: half of the time after which a server that leaves must get no requests.
    private static final int DRAIN_MILLIS = 1_000;
    // Of the same rule: time for which a host must have been running and connected.
    private static final int STABLE_WINDOW_MILLIS = 3_000;
    private static final int SESSIONS = 200;

    final VirtualLoop loop;
    final VirtualStore store;
    final List<String> findings = new ArrayList<>();
    private final GossipFleet gossip;
    private final Random random;
    private final List<Host> hosts = new ArrayList<>();
    private final Map<String, Server> servers = new HashMap<>();
    private final List<Acknowledged> configurations = new ArrayList<>();
    private Optional<String> order = Optional.empty();
    private long version;
    private long wentDownMillis = Long.MIN_VALUE / 2;
    private long returnedMillis = Long.MIN_VALUE / 2;
    private boolean rewritten = true;
    private int started;

    RestoredFleet(int hostCount, int serverCount, long seed) {
        this.gossip = new GossipFleet(seed, 5_000, new TextFormats(ROLLOUT_MILLIS));
        this.loop = gossip.loop;
        this.random = gossip.random;
        this.store = new VirtualStore(loop, random);
        store.put(CRASH_RECORD_KEY, CRASHES);
        changeConfiguration();
        IntStream.range(0, serverCount).forEach(_index -> startServer("v1"));
        IntStream.range(0, hostCount).forEach(index -> hosts.add(new Host("h" + index)));
        loop.repeat(SAMPLE_MILLIS, () -> hosts.forEach(Host::check));
        loop.repeat(RETRY_MILLIS, this::expireEntries);
    }

    private record Acknowledged(long version, long atMillis) {}

    /** Takes the store away, and brings it back after a time with the contents of a copy. */
    void restore(VirtualStore.Copy copy, long awayMillis) {
        store.goDown();
        rewritten = false;
        wentDownMillis = loop.nowMillis();
        loop.schedule(awayMillis, () -> {
            store.returnRestored(copy);
            returnedMillis = loop.nowMillis();
            servers.values().forEach(server -> server.lastBeatMillis = loop.nowMillis());
            loop.schedule(REWRITE_MILLIS, this::writeAgain);
        });
    }

    private void writeAgain() {
        rewritten = true;
        if (!configurations.isEmpty()) {
            long newest = configurations.get(configurations.size() - 1).version();
            if (store.read("op/config").map(Long::parseLong).orElse(-1L) < newest) {
                store.put("op/config", TextFormats.configuration(newest));
            }
        }
        order.filter(target -> !store.read("op/rollout/" + SERVICE).equals(Optional.of(target)))
                .ifPresent(target -> store.put("op/rollout/" + SERVICE, target));
    }

    /** Writes a new configuration, as soon as the store is up. */
    void changeConfiguration() {
        if (store.isDown() || !rewritten) {
            loop.schedule(RETRY_MILLIS, this::changeConfiguration);
            return;
        }
        version += 1 + random.nextInt(3);
        store.put("op/config", TextFormats.configuration(version));
        configurations.add(new Acknowledged(version, loop.nowMillis()));
    }

    /** Orders a rollout. */
    void order(String target) {
        order = Optional.of(target);
        store.put("op/rollout/" + SERVICE, target);
    }

    Server startServer(String serverVersion) {
        Server server = new Server("s" + started++, serverVersion);
        servers.put(server.id, server);
        loop.schedule(random.nextInt(HEARTBEAT_MILLIS), server::beat);
        return server;
    }

    /** Drains a server that runs, and ends it. */
    void stopServer() {
        servers.values().stream()
                .filter(server -> !server.draining && server.version.equals("v1"))
                .findFirst()
                .ifPresent(Server::drain);
    }

    /** Starts a random host anew, without anything that it knew. */
    void restartHost() {
        int index = random.nextInt(hosts.size());
        Host ended = hosts.get(index);
        ended.stop();
        hosts.set(index, new Host(ended.member.name));
    }

    /** Cuts a random host off from the store for a time. */
    void cutOffHost(long millis) {
        Host host = hosts.get(random.nextInt(hosts.size()));
        host.client.setCutOff(true);
        host.connectedMillis = Long.MAX_VALUE;
        loop.schedule(millis, () -> {
            host.client.setCutOff(false);
            host.connectedMillis = loop.nowMillis();
        });
    }

    private void expireEntries() {
        if (!store.isDown()) {
            servers.values().stream()
                    .filter(server -> loop.nowMillis() - server.lastBeatMillis > EXPIRY_MILLIS)
                    .forEach(server -> store.delete("servers/" + server.id));
        }
    }

    /** Returns the time from the store's return until all hosts knew of it, in milliseconds. */
    long wholeAfterMillis() {
        return hosts.stream()
                .mapToLong(host -> host.eraKnownMillis - returnedMillis)
                .max()
                .orElse(-1);
    }

    private long dueVersion(long runningSinceMillis) {
        long now = loop.nowMillis();
        if (store.isDown()) {
            return -1;
        }
        return configurations.stream()
                .filter(change -> {
                    boolean lost =
                            wentDownMillis >= change.atMillis() && wentDownMillis < change.atMillis() + APPLY_MILLIS;
                    long from = lost ? returnedMillis + REWRITE_MILLIS : change.atMillis();
                    return now >= Math.max(from, runningSinceMillis) + APPLY_MILLIS;
                })
                .mapToLong(Acknowledged::version)
                .max()
                .orElse(-1);
    }

    /** A backend server that registers itself in the store. */
    final class Server {
        private final String id;
        private final String version;
        private long sequence;
        private boolean draining;
        private boolean ended;
        private long registeredMillis = Long.MAX_VALUE / 2;
        private long drainedMillis = Long.MAX_VALUE / 2;
        private long lastBeatMillis = loop.nowMillis();

        Server(String id, String version) {
            this.id = id;
            this.version = version;
        }

        private void beat() {
            if (!ended) {
                writeEntry();
                loop.schedule(HEARTBEAT_MILLIS, this::beat);
            }
        }

        // The entry changes only if more than its sequence number changes.
        private boolean writeEntry() {
            if (store.isDown()) {
                return false;
            }
            sequence++;
            lastBeatMillis = loop.nowMillis();
            String entry = TextFormats.backend(version, draining, sequence);
            boolean same = store.read("servers/" + id)
                    .filter(stored -> withoutSequence(stored).equals(withoutSequence(entry)))
                    .isPresent();
            if (!same) {
                store.put("servers/" + id, entry);
            }
            registeredMillis = Math.min(registeredMillis, loop.nowMillis());
            return true;
        }

        private static String withoutSequence(String entry) {
            return entry.substring(0, entry.lastIndexOf(' '));
        }

        private void drain() {
            draining = true;
            if (!writeEntry()) {
                loop.schedule(RETRY_MILLIS, this::drain);
                return;
            }
            drainedMillis = loop.nowMillis();
            loop.schedule(SERVE_AFTER_DRAIN_MILLIS, this::end);
        }

        private void end() {
            ended = true;
            lastBeatMillis = loop.nowMillis() - EXPIRY_MILLIS;
            if (!store.isDown()) {
                store.delete("servers/" + id);
            }
        }

        // A change that the store lost before any host could have received it is known to nobody.
        private boolean mayBeUnknown(long changedMillis) {
            return wentDownMillis >= changedMillis && wentDownMillis <= changedMillis + RETRY_MILLIS;
        }

        /** Returns true if a host that has been running and connected for a time must not send requests to this server. */
        boolean mustBeLeft(long hostMillis) {
            return !mayBeUnknown(drainedMillis)
                    && loop.nowMillis() >= Math.max(drainedMillis + DRAIN_MILLIS, hostMillis + STABLE_WINDOW_MILLIS)
                    && !store.isDown();
        }

        /** Returns true if a host that has been running and connected for a time must know this server. */
        boolean mustBeKnown(long hostMillis) {
            boolean lost = mayBeUnknown(registeredMillis);
            long from = lost ? returnedMillis + HEARTBEAT_MILLIS : registeredMillis;
            return !draining && loop.nowMillis() >= Math.max(from, hostMillis) + APPLY_MILLIS && !store.isDown();
        }
    }

    /** A host with its own view of the store. */
    private final class Host {
        private final GossipFleet.Member member;
        private final VirtualStore.Client client = store.new Client();
        private final RolloutController controller;
        private final CrashRecorder recorder;
        private final long startedMillis = loop.nowMillis();
        private long connectedMillis = loop.nowMillis();
        private boolean stopped;
        private long lastVersion = -1;
        private long knownEra;
        private long eraKnownMillis;
        private int lastOnTarget;

        Host(String name) {
            this.member = gossip.new Member(name, client);
            TextFormats formats = new TextFormats(ROLLOUT_MILLIS);
            this.controller = new RolloutController(
                    loop,
                    client,
                    formats,
                    member.versions,
                    member.log,
                    member.view::storeEra,
                    member.reports::writeDelayMillis);
            this.recorder = new CrashRecorder(
                    loop,
                    client,
                    formats,
                    member.registry.crashingPrompts(),
                    member.log,
                    member.reports::writeDelayMillis);
            loop.schedule(random.nextInt(200), () -> {
                member.view.start();
                controller.start();
                recorder.start();
                member.start();
            });
        }

        void stop() {
            stopped = true;
            member.view.stop();
            controller.stop();
            recorder.stop();
            member.stop();
        }

        private void check() {
            if (stopped) {
                return;
            }
            long known = member.view
                    .configuration()
                    .map(RoutingConfiguration::version)
                    .orElse(-1L);
            if (known < lastVersion) {
                find("went back from configuration " + lastVersion + " to " + known);
            }
            if (member.view.storeEra() != knownEra) {
                knownEra = member.view.storeEra();
                eraKnownMillis = loop.nowMillis();
            }
            lastVersion = known;
            long due = dueVersion(startedMillis);
            if (known < due) {
                find("has configuration " + known + " instead of " + due);
            }
            checkServers();
            if (order.isPresent()) {
                checkRollout();
            }
        }

        private void checkServers() {
            if (connectedMillis > loop.nowMillis()) {
                return;
            }
            Set<String> ready = member.registry.ready(SERVICE).stream()
                    .map(BackendServerState::entry)
                    .map(BackendRegistration::id)
                    .collect(Collectors.toSet());
            long since = Math.max(startedMillis, connectedMillis);
            servers.values().forEach(server -> {
                if (server.mustBeLeft(since) && ready.contains(server.id)) {
                    find("uses " + server.id + ", which has left");
                } else if (server.mustBeKnown(since) && !ready.contains(server.id)) {
                    find("has dropped " + server.id + ", which lives");
                }
            });
        }

        private void checkRollout() {
            int onTarget = (int) IntStream.range(0, SESSIONS)
                    .filter(session -> member.versions
                            .of(SERVICE)
                            .preference(Optional.of("x" + session), "x" + session, Set.of("v1", "v2"), loop.nowMillis())
                            .versions()
                            .get(0)
                            .equals("v2"))
                    .count();
            if (onTarget < lastOnTarget && loop.nowMillis() - startedMillis > APPLY_MILLIS) {
                find("moved sessions back: " + lastOnTarget + " to " + onTarget + " of " + SESSIONS);
            }
            lastOnTarget = onTarget;
        }

        private void find(String what) {
            if (findings.size() < 20) {
                findings.add((loop.nowMillis() - wentDownMillis) + " ms after the store went away " + member.name + ' '
                        + what);
            }
        }
    }

    /** Returns the state of the rollout in the store. */
    Optional<RolloutState.Phase> storedPhase() {
        return store.read("status/" + SERVICE).map(text -> RolloutState.Phase.valueOf(text.split(" ", -1)[1]));
    }
}
