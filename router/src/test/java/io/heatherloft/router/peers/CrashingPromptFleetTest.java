package io.heatherloft.router.peers;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.heatherloft.domain.StoreRevision;
import io.heatherloft.domain.route.BackendRegistration;
import io.heatherloft.domain.route.CrashingPromptDetector.Prompt;
import io.heatherloft.domain.route.CrashingPromptDetector.Response;
import io.heatherloft.router.VirtualLoop;
import io.heatherloft.router.fleet.BackendRegistry;
import io.heatherloft.router.fleet.BackendServerState;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Fleets in virtual time, without a network, whose servers crash on one part of a prompt. */
final class CrashingPromptFleetTest {
    private static final long CRASHING_PART = 0xbadL;
    private static final int FIRST_PARTS = 10;
    private static final int MIDDLE_PARTS = 200;
    private static final int MAX_SENDS = 3;
    private static final long CRASH_DELAY_MILLIS = 70L;
    private static final long EARLY_CRASH_DELAY_MILLIS = 5L;
    private static final long SERVER_RESTART_MILLIS = 3_000L;
    private static final long FLAP_DOWN_MILLIS = 400L;
    private static final long FLAP_PERIOD_MILLIS = 1_400L;
    private static final int MAX_RESPONSE_MILLIS = 4_000;
    // The crashes after which the fleet must have recognized the part, and the time in which all hosts must act on it.
    private static final int LEARNING_CRASHES = 5;
    private static final long STABLE_WINDOW_MILLIS = 3_000L;
    private static final int MAX_LATE_ARRIVALS = 3;

    /** What a server has sent of its response when it crashes on a prompt. */
    private enum CrashPoint {
        NOTHING,
        PART_OF_HEAD,
        HEAD
    }

    /** Hosts and servers, and callers whose requests reach any host. */
    private static final class Fleet {
        private final GossipFleet gossip;
        private final VirtualLoop loop;
        private final Random random;
        private final List<Host> hosts = new ArrayList<>();
        private final List<Server> servers = new ArrayList<>();
        private CrashPoint crashPoint = CrashPoint.HEAD;
        private int serversStarted;
        private int promptCrashes;
        private int lateArrivals;
        private int soundRequests;
        private int soundRefused;
        private long learnedByMillis = Long.MAX_VALUE;

        Fleet(int hostCount, int serverCount, long seed) {
            this.gossip = new GossipFleet(seed, 1_000, new TextFormats(0));
            this.loop = gossip.loop;
            this.random = gossip.random;
            IntStream.range(0, hostCount).forEach(index -> hosts.add(new Host("h" + index)));
            IntStream.range(0, serverCount).forEach(_index -> servers.add(new Server()));
            hosts.forEach(host -> host.member.startSoon());
            loop.runFor(5_000);
        }

        /** Sends requests for a time, with constant rates. */
        void callFor(long millis, int soundPerSecond, double crashingPerSecond) {
            schedule(millis, soundPerSecond, () -> new Call(false).send());
            schedule(millis, crashingPerSecond, () -> new Call(true).send());
            loop.runFor(millis);
        }

        /** Crashes random servers, whatever they run. */
        void crashServers(long millis, double perSecond) {
            schedule(millis, perSecond, () -> {
                Server server = servers.get(random.nextInt(servers.size()));
                if (server.up) {
                    server.crash();
                }
            });
        }

        /** Lets the first servers go down and up again and again, whatever they run. */
        void flapServers(long millis, int count) {
            servers.stream().limit(count).forEach(server -> LongStream.iterate(
                            random.nextInt((int) FLAP_PERIOD_MILLIS), at -> at < millis, at -> at + FLAP_PERIOD_MILLIS)
                    .forEach(at -> loop.schedule(at, () -> {
                        if (server.up) {
                            server.crash(FLAP_DOWN_MILLIS);
                        }
                    })));
        }

        private void schedule(long millis, double perSecond, Runnable task) {
            IntStream.range(0, (int) (millis * perSecond / 1_000))
                    .forEach(_index -> loop.schedule((long) (random.nextDouble() * millis), task));
        }

        /** Replaces a host by one that knows nothing, and returns it. */
        Host restart(int index) {
            hosts.get(index).member.stop();
            Host started = new Host(hosts.get(index).member.name);
            servers.forEach(started::learn);
            started.member.start();
            hosts.set(index, started);
            return started;
        }

        /** A request, sent to a server up to three times. */
        private final class Call {
            private final boolean crashing;
            private final Prompt prompt;
            private final Host host = hosts.get(random.nextInt(hosts.size()));
            private int sends;

            Call(boolean crashing) {
                this.crashing = crashing;
                List<Long> parts = new ArrayList<>();
                parts.add(1L + random.nextInt(FIRST_PARTS));
                // Some middle parts are much rarer than others.
                parts.add(1_000L + (long) (MIDDLE_PARTS * Math.pow(random.nextDouble(), 3)));
                if (crashing) {
                    parts.add(CRASHING_PART);
                }
                this.prompt = new Prompt(parts, random.nextLong());
                soundRequests += crashing ? 0 : 1;
            }

            void send() {
                if (host.registry.crashingPrompts().isBlocked(prompt)) {
                    soundRefused += crashing || sends > 0 ? 0 : 1;
                    return;
                }
                if (sends == MAX_SENDS) {
                    return;
                }
                sends++;
                Server server = servers.get(random.nextInt(servers.size()));
                if (!server.up) {
                    server.stateAt(host)
                            .ifPresent(state -> host.registry.crashingPrompts().onCrash(state));
                    loop.schedule(gossip.networkDelayMillis(), this::send);
                    return;
                }
                if (crashing && loop.nowMillis() > learnedByMillis) {
                    lateArrivals++;
                }
                server.run(this);
            }
        }

        /** A backend server, which starts again under a new ID after each crash. */
        private final class Server {
            private final List<Runnable> interruptions = new ArrayList<>();
            private final String address = "127.0.0.1:" + (1 + servers.size());
            private String id = "";
            private boolean up;

            Server() {
                start();
            }

            private void start() {
                serversStarted++;
                id = "s" + serversStarted;
                up = true;
                hosts.forEach(host -> loop.schedule(random.nextInt(200), () -> host.learn(this)));
            }

            private Optional<BackendServerState> stateAt(Host host) {
                return host.registry.find(id);
            }

            void run(Call call) {
                String runningId = id;
                Optional<BackendServerState> known = stateAt(call.host);
                if (known.isEmpty()) {
                    loop.schedule(gossip.networkDelayMillis(), call::send);
                    return;
                }
                BackendServerState state = known.get();
                Response response = call.host.registry.crashingPrompts().onSend(state, call.prompt);
                Runnable interruption = () ->
                        loop.schedule(gossip.networkDelayMillis(), () -> call.host.interrupt(state, response, call));
                interruptions.add(interruption);
                loop.schedule(10 + random.nextInt(90), () -> {
                    if (up && id.equals(runningId)) {
                        respond(call, response, interruption);
                    }
                });
            }

            private void respond(Call call, Response response, Runnable interruption) {
                if (!call.crashing || crashPoint == CrashPoint.HEAD) {
                    call.host.registry.crashingPrompts().onResponseStart(response);
                } else if (crashPoint == CrashPoint.PART_OF_HEAD) {
                    call.host.registry.crashingPrompts().onFirstByte(response);
                }
                if (call.crashing) {
                    loop.schedule(crashPoint == CrashPoint.HEAD ? CRASH_DELAY_MILLIS : EARLY_CRASH_DELAY_MILLIS, () -> {
                        if (interruptions.contains(interruption)) {
                            crashOnPrompt();
                        }
                    });
                } else {
                    loop.schedule(1 + random.nextInt(MAX_RESPONSE_MILLIS), () -> interruptions.remove(interruption));
                }
            }

            private void crashOnPrompt() {
                promptCrashes++;
                if (promptCrashes == LEARNING_CRASHES) {
                    learnedByMillis = loop.nowMillis() + STABLE_WINDOW_MILLIS;
                }
                crash();
            }

            void crash() {
                crash(SERVER_RESTART_MILLIS);
            }

            void crash(long downMillis) {
                up = false;
                List<Runnable> interrupted = List.copyOf(interruptions);
                interruptions.clear();
                interrupted.forEach(Runnable::run);
                loop.schedule(downMillis, this::start);
            }
        }

        /** What a host knows of crashes, and its gossip. */
        private final class Host {
            private final GossipFleet.Member member;
            private final BackendRegistry registry;
            private int revision;

            Host(String name) {
                this.member = gossip.new Member(name);
                this.registry = member.registry;
            }

            void learn(Server server) {
                revision++;
                registry.update(
                        new BackendRegistration(server.id, 1L, "llm", server.address, "a", "v1", 64, false, 0L, 0L),
                        StoreRevision.ofFirstEra(revision));
            }

            void interrupt(BackendServerState state, Response response, Call call) {
                if (registry.crashingPrompts().onInterruption(response)) {
                    loop.schedule(gossip.networkDelayMillis(), () -> registry.crashingPrompts()
                            .onCrash(state));
                }
                call.send();
            }

            boolean isBlocking() {
                return registry.crashingPrompts().isBlocked(new Prompt(List.of(1L, 1_000L, CRASHING_PART), 7L));
            }
        }
    }

    @Nested
    final class AFleet {
        private void blocksTheCrashingPartOnly(
                CrashPoint crashPoint, int hosts, int servers, int soundPerSecond, double crashingPerSecond) {
            Fleet fleet = new Fleet(hosts, servers, hosts);
            fleet.crashPoint = crashPoint;
            fleet.callFor(6_000, soundPerSecond, 0);
            fleet.callFor(9_000, soundPerSecond, crashingPerSecond);
            String figures =
                    hosts + " hosts: " + fleet.promptCrashes + " crashes, " + fleet.lateArrivals + " late arrivals, "
                            + fleet.soundRefused + " of " + fleet.soundRequests + " sound requests refused";
            assertWithMessage(figures).that(fleet.promptCrashes).isAtLeast(3);
            assertWithMessage(figures).that(fleet.lateArrivals).isAtMost(MAX_LATE_ARRIVALS);
            assertWithMessage(figures).that(fleet.soundRefused).isEqualTo(0);
            assertWithMessage(figures)
                    .that(fleet.hosts.stream().allMatch(Fleet.Host::isBlocking))
                    .isTrue();
        }

        // Incident BUDGET at several sizes of the fleet: requests that share one part crashed servers without end. In
        // review
        // case 3 the servers crashed before the end of the head.
        @ParameterizedTest
        @EnumSource(CrashPoint.class)
        void of_6_hosts_blocks_the_part_on_all_of_them(CrashPoint crashPoint) {
            blocksTheCrashingPartOnly(crashPoint, 6, 8, 42, 3);
        }

        @ParameterizedTest
        @EnumSource(CrashPoint.class)
        void of_58_hosts_blocks_the_part_on_all_of_them(CrashPoint crashPoint) {
            blocksTheCrashingPartOnly(crashPoint, 58, 78, 290, 6);
        }

        @ParameterizedTest
        @EnumSource(CrashPoint.class)
        void of_95_hosts_blocks_the_part_on_all_of_them(CrashPoint crashPoint) {
            blocksTheCrashingPartOnly(crashPoint, 95, 120, 400, 10);
        }

        @Test
        void of_360_hosts_blocks_the_part_on_all_of_them() {
            blocksTheCrashingPartOnly(CrashPoint.HEAD, 360, 60, 400, 20);
        }

        private void blocksTheCrashingPartWhileServersFlap(int hosts, int servers, int flapping, long flapMillis) {
            Fleet fleet = new Fleet(hosts, servers, hosts);
            fleet.callFor(5_000, 60, 0);
            fleet.flapServers(flapMillis, flapping);
            fleet.callFor(25_000, 60, 1 / 4.5);
            String figures = hosts + " hosts: " + fleet.promptCrashes + " crashes, " + fleet.lateArrivals
                    + " late arrivals, " + fleet.soundRefused + " of " + fleet.soundRequests
                    + " sound requests refused";
            assertWithMessage(figures).that(fleet.lateArrivals).isAtMost(MAX_LATE_ARRIVALS);
            assertWithMessage(figures).that(fleet.soundRefused).isEqualTo(0);
            assertWithMessage(figures)
                    .that(fleet.hosts.stream().allMatch(Fleet.Host::isBlocking))
                    .isTrue();
        }

        // Guards against review case 8 (BUDGET): crashes that a part could not have caused spoke for it.
        @ParameterizedTest
        @CsvSource({"6, 20, 2, 6500", "6, 20, 3, 6500", "6, 20, 2, 30000", "58, 78, 8, 6500", "360, 200, 20, 6500"})
        void blocks_the_part_while_other_servers_go_down_and_up(int hosts, int servers, int flapping, long flapMillis) {
            blocksTheCrashingPartWhileServersFlap(hosts, servers, flapping, flapMillis);
        }

        // Incident BUDGET: a host that starts later must not need crashes of its own.
        @Test
        void tells_a_host_that_starts_later() {
            Fleet fleet = new Fleet(58, 78, 1);
            fleet.callFor(20_000, 290, 0);
            fleet.callFor(15_000, 290, 6);
            Fleet.Host started = fleet.restart(30);
            fleet.loop.runFor(20);
            assertThat(started.isBlocking()).isTrue();
        }

        // A loss of power: nothing is known to be sound yet, and all requests share their first parts.
        @Test
        void refuses_nothing_after_many_servers_crash_at_the_same_moment() {
            Fleet fleet = new Fleet(58, 78, 1);
            fleet.loop.schedule(1_000, () -> fleet.servers.stream().limit(40).forEach(Fleet.Server::crash));
            fleet.callFor(20_000, 290, 0);
            assertThat(fleet.soundRefused).isEqualTo(0);
        }

        private void refusesNothingWhileServersCrashWhateverTheyRun(long seed) {
            Fleet fleet = new Fleet(6, 8, seed);
            fleet.callFor(20_000, 42, 0);
            fleet.crashServers(60_000, 2);
            fleet.callFor(60_000, 42, 0);
            assertThat(fleet.soundRefused).isEqualTo(0);
        }

        // Servers that crash for other reasons accuse no part. Seeds 2, 3 and 12 refused requests while every crash
        // counted
        // alike, seed 11 (issue 25) while a part had to explain most of the crashes.
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 11, 12})
        void refuses_nothing_while_servers_crash_whatever_they_run(long seed) {
            refusesNothingWhileServersCrashWhateverTheyRun(seed);
        }
    }
}
