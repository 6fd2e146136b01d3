package io.heatherloft.router.peers;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.StoreRevision;
import io.heatherloft.router.VirtualLoop;
import io.heatherloft.router.fleet.FleetView;
import io.heatherloft.router.fleet.PrefixReplica;
import io.heatherloft.router.fleet.VersionPolicies;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Rollouts in fleets whose hosts gossip in virtual time, without a network. */
final class RolloutSessionsTest {
    private static final String SERVICE = "llm";
    private static final String TARGET = "v2";
    private static final Set<String> VERSIONS = Set.of("v1", TARGET);
    private static final long ROLLOUT_MILLIS = 24_000L;
    private static final long SESSION_IDLE_MILLIS = 8_500L;
    private static final StoreRevision ORDER_REVISION = StoreRevision.ofFirstEra(10L);
    private static final long RESTART_MILLIS = 600L;
    // Callers wait this long for a response.
    private static final int MAX_REQUEST_MILLIS = 3_000;
    // Number of requests of sessions that may run on another version than the one before in a rollout.
    private static final int MAX_MOVED_REQUESTS = 3;

    /** A fleet of hosts in virtual time, and callers whose requests reach any host, as with a balancer. */
    private static final class Fleet {
        private final GossipFleet gossip;
        private final VirtualLoop loop;
        private final Random random;
        private final List<Host> hosts = new ArrayList<>();
        private int movedRequests;
        private int requestsOnTarget;
        private int requests;

        Fleet(int hostCount, long seed) {
            this.gossip = new GossipFleet(seed, SESSION_IDLE_MILLIS, new TextFormats(ROLLOUT_MILLIS));
            this.loop = gossip.loop;
            this.random = gossip.random;
            IntStream.range(0, hostCount).forEach(index -> hosts.add(new Host("h" + index)));
            hosts.forEach(host -> host.member.startSoon());
        }

        /** Delivers the order to each host within the time that its watch of the store takes. */
        void order() {
            hosts.forEach(host -> loop.schedule(random.nextInt(200), host::receiveOrder));
        }

        /** Replaces a host by one that knows nothing; it gets requests once it has read the store. */
        void restart(int index) {
            Host ended = hosts.get(index);
            ended.member.stop();
            Host started = new Host(ended.member.name);
            started.member.start();
            loop.schedule(random.nextInt(200), started::receiveOrder);
            loop.schedule(RESTART_MILLIS, () -> hosts.set(index, started));
        }

        /** Starts sessions at a constant rate; each has further requests until it has been idle. */
        void callFor(long millis, int sessionsPerSecond) {
            int sessions = (int) (millis * sessionsPerSecond / 1_000);
            IntStream.range(0, sessions)
                    .forEach(index -> loop.schedule(
                            (long) (random.nextDouble() * millis),
                            () -> request("s" + loop.nowMillis() + '-' + index, Optional.empty())));
            loop.runFor(millis);
        }

        private void request(String session, Optional<String> versionBefore) {
            Host host = hosts.get(random.nextInt(hosts.size()));
            String version = host.versions
                    .of(SERVICE)
                    .preference(Optional.of(session), session, VERSIONS, loop.nowMillis())
                    .versions()
                    .get(0);
            requests++;
            requestsOnTarget += version.equals(TARGET) ? 1 : 0;
            movedRequests +=
                    versionBefore.filter(before -> !before.equals(version)).isPresent() ? 1 : 0;
            host.versions.recordSession(SERVICE, session, version);
            loop.schedule(1 + random.nextInt(MAX_REQUEST_MILLIS), () -> {
                host.versions.recordSession(SERVICE, session, version);
                double pauseMillis = -Math.log(1 - random.nextDouble()) * SESSION_IDLE_MILLIS;
                if (pauseMillis < SESSION_IDLE_MILLIS) {
                    loop.schedule((long) pauseMillis, () -> request(session, Optional.of(version)));
                }
            });
        }

        /** What a host knows of the rollout, and its gossip. */
        private final class Host {
            private final GossipFleet.Member member;
            private final VersionPolicies versions;

            Host(String name) {
                this.member = gossip.new Member(name);
                this.versions = member.versions;
            }

            private void receiveOrder() {
                member.view.applyFromHost(
                        new FleetView.PrefixUpdate(
                                "op/",
                                List.of(PrefixReplica.Change.put(
                                        "op/rollout/" + SERVICE, ORDER_REVISION, Bytes.ofText(TARGET))),
                                List.of(),
                                ORDER_REVISION,
                                false),
                        "store");
            }
        }
    }

    @Nested
    final class AFleet {
        // Incident inc1: a session on the previous version moved to the new one in the first half of the rollout when
        // its
        // next request reached a host that did not know it.
        @Test
        void keeps_the_version_of_sessions_whose_requests_reach_different_hosts() {
            List<String> findings = new ArrayList<>();
            BiConsumer<Integer, Integer> play = (hostCount, sessionsPerSecond) -> {
                Fleet fleet = new Fleet(hostCount, hostCount);
                fleet.callFor(12_000, sessionsPerSecond);
                fleet.order();
                fleet.callFor(ROLLOUT_MILLIS / 2, sessionsPerSecond);
                if (fleet.movedRequests > MAX_MOVED_REQUESTS) {
                    findings.add(hostCount + " hosts: " + fleet.movedRequests + " of " + fleet.requests);
                }
                assertThat(fleet.requestsOnTarget).isAtLeast(fleet.requests / 100);
            };
            play.accept(6, 40);
            play.accept(58, 120);
            assertThat(findings).isEmpty();
        }

        // Incident inc1: a restarted host has no record of sessions; it learns them before it joins the canary phase.
        @Test
        void keeps_the_version_of_sessions_while_its_hosts_restart_one_after_the_other() {
            Fleet fleet = new Fleet(58, 1);
            fleet.callFor(12_000, 120);
            fleet.order();
            IntStream.range(0, 30)
                    .forEach(index -> fleet.loop.schedule(3_000 + index * 300L, () -> fleet.restart(index)));
            fleet.callFor(ROLLOUT_MILLIS / 2, 120);
            assertThat(fleet.movedRequests).isAtMost(MAX_MOVED_REQUESTS);
            assertThat(fleet.requestsOnTarget).isAtLeast(fleet.requests / 100);
        }

        // Incident inc1 at the size that the system is designed for.
        @Test
        void of_360_hosts_keeps_the_version_of_sessions() {
            Fleet fleet = new Fleet(360, 1);
            fleet.callFor(12_000, 1_000);
            fleet.order();
            fleet.callFor(ROLLOUT_MILLIS / 2, 1_000);
            assertThat(fleet.movedRequests).isAtMost(MAX_MOVED_REQUESTS);
            assertThat(fleet.requestsOnTarget).isAtLeast(50);
        }
    }
}
