package io.heatherloft.domain.route;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.heatherloft.domain.StableHash;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Without these decisions, all hosts together send a server that has just started more than it withstands. */
final class ColdServersTest {
    private static final double RATE = 7.3;
    private static final ColdServerBound BOUND = new ColdServerBound(1.5, 5);
    private static final long SERVER = StableHash.of("s1");
    private static final long COLD_MILLIS = 3_000L;
    private static final long ASSUMED_MILLIS = COLD_MILLIS + ColdServers.MARGIN_MILLIS;
    // Time after which lists of 6 or 70 hosts are relied on.
    private static final long SETTLED = 12_000L;

    private static long host(int index) {
        return StableHash.of("h" + index);
    }

    private static long[] othersThan(int self, int hostCount) {
        return IntStream.range(0, hostCount)
                .filter(index -> index != self)
                .mapToLong(ColdServersTest::host)
                .toArray();
    }

    private static ColdServers started(int self) {
        return new ColdServers(host(self), BOUND, 0);
    }

    private static ColdServers settled(int self, int hostCount) {
        ColdServers servers = started(self);
        servers.updateHosts(othersThan(self, hostCount), 0);
        servers.updateHosts(othersThan(self, hostCount), SETTLED);
        return servers;
    }

    private static List<ColdServers> settledFleet(int hostCount) {
        return IntStream.range(0, hostCount)
                .mapToObj(self -> settled(self, hostCount))
                .toList();
    }

    private static ColdServers holder() {
        return settledFleet(6).stream()
                .filter(servers -> servers.isHolder(SERVER, RATE))
                .findFirst()
                .orElseThrow();
    }

    private static ColdServers noHolder() {
        return settledFleet(6).stream()
                .filter(servers -> !servers.isHolder(SERVER, RATE))
                .findFirst()
                .orElseThrow();
    }

    // Sends a request whenever it is allowed, and returns the number of requests.
    private static int sendFor(ColdServers servers, long fromMillis, long toMillis) {
        return (int) LongStream.range(fromMillis, toMillis)
                .filter(now -> servers.mayUse(SERVER, RATE, now))
                .peek(_now -> servers.recordSend(SERVER))
                .count();
    }

    @Nested
    final class AServer {
        private final ColdServers servers = noHolder();

        @Test
        void is_cold_for_the_time_that_its_entry_states() {
            assertThat(servers.recordEntry(SERVER, 0, COLD_MILLIS, SETTLED)).isFalse();
            assertThat(servers.mayUse(SERVER, RATE, SETTLED)).isTrue();
            assertThat(servers.recordEntry(SERVER, 2_000, COLD_MILLIS, SETTLED)).isTrue();
            assertThat(servers.mayUse(SERVER, RATE, SETTLED + 1_999)).isFalse();
            assertThat(servers.mayUse(SERVER, RATE, SETTLED + 2_000)).isTrue();
        }

        @Test
        void is_cold_for_the_time_that_its_newest_response_states() {
            assertThat(servers.recordStatement(SERVER, 2_000, COLD_MILLIS, SETTLED))
                    .isTrue();
            assertThat(servers.recordStatement(SERVER, 500, COLD_MILLIS, SETTLED + 1_000))
                    .isFalse();
            assertThat(servers.isCold(SERVER, SETTLED + 1_499)).isTrue();
            assertThat(servers.isCold(SERVER, SETTLED + 1_500)).isFalse();
        }

        @Test
        void stays_cold_after_an_evacuation_whatever_it_states() {
            assertThat(servers.recordEvacuationEnd(SERVER, SETTLED + ASSUMED_MILLIS, SETTLED))
                    .isTrue();
            assertThat(servers.recordEntry(SERVER, 0, COLD_MILLIS, SETTLED + 100))
                    .isFalse();
            assertThat(servers.recordStatement(SERVER, 0, COLD_MILLIS, SETTLED + 200))
                    .isFalse();
            assertThat(servers.isCold(SERVER, SETTLED + ASSUMED_MILLIS - 1)).isTrue();
            assertThat(servers.isCold(SERVER, SETTLED + ASSUMED_MILLIS)).isFalse();
        }

        @Test
        void is_not_cold_for_ever_after_an_absurd_statement() {
            assertThat(servers.recordStatement(SERVER, Long.MAX_VALUE, COLD_MILLIS, SETTLED))
                    .isTrue();
            assertThat(servers.isCold(SERVER, SETTLED + 3_600_000)).isFalse();
            assertThat(servers.recordEntry(SERVER, Long.MIN_VALUE, COLD_MILLIS, SETTLED))
                    .isFalse();
        }
    }

    /** A server that was down for long was overwhelmed by the probes of all hosts once it had started. */
    @Nested
    final class AFailedServer {
        private final ColdServers servers = noHolder();

        @Test
        void stays_cold_until_it_is_known_to_be_up_for_its_cold_time() {
            assertThat(servers.recordFailure(SERVER, COLD_MILLIS, SETTLED)).isTrue();
            assertThat(servers.isCheckDue(SERVER, SETTLED + 100)).isFalse();
            long later = SETTLED + 60_000;
            assertThat(servers.mayUse(SERVER, RATE, later)).isFalse();
            assertThat(servers.isCheckDue(SERVER, later)).isTrue();
            assertThat(servers.isCheckDue(SERVER, later + 100)).isFalse();
            servers.recordUp(SERVER, COLD_MILLIS, later);
            assertThat(servers.isCheckDue(SERVER, later + 10_000)).isFalse();
            assertThat(servers.isCold(SERVER, later + ASSUMED_MILLIS - 1)).isTrue();
            assertThat(servers.isCold(SERVER, later + ASSUMED_MILLIS)).isFalse();
        }

        // An entry that was written before the failure arrives after it, and the server starts later still.
        @Test
        void is_cold_for_its_cold_time_after_an_entry_that_says_that_it_is_warm() {
            assertThat(servers.recordFailure(SERVER, COLD_MILLIS, SETTLED)).isTrue();
            long entryMillis = SETTLED + COLD_MILLIS;
            assertThat(servers.recordEntry(SERVER, 0, COLD_MILLIS, entryMillis)).isFalse();
            assertThat(servers.isCold(SERVER, entryMillis + ASSUMED_MILLIS - 1)).isTrue();
            assertThat(servers.isCold(SERVER, entryMillis + ASSUMED_MILLIS)).isFalse();
        }

        @Test
        void is_warm_again_if_the_links_of_the_host_were_the_cause_but_not_if_it_said_that_it_is_cold() {
            assertThat(servers.recordFailure(SERVER, COLD_MILLIS, SETTLED)).isTrue();
            servers.forgetFailures();
            assertThat(servers.isCold(SERVER, SETTLED)).isFalse();
            assertThat(servers.recordEntry(SERVER, 1_000, COLD_MILLIS, SETTLED)).isTrue();
            servers.forgetFailures();
            assertThat(servers.isCold(SERVER, SETTLED)).isTrue();
        }
    }

    @Nested
    final class TheHosts {
        @Test
        void that_know_one_another_agree_on_four_holders() {
            for (int hostCount : List.of(6, 70)) {
                assertThat(settledFleet(hostCount).stream()
                                .filter(servers -> servers.isHolder(SERVER, RATE))
                                .count())
                        .isEqualTo(4);
            }
        }

        @Test
        void are_fewer_holders_where_the_bound_leaves_less() {
            List<ColdServers> fleet = IntStream.range(0, 6)
                    .mapToObj(self -> {
                        ColdServers servers = new ColdServers(host(self), new ColdServerBound(1, 4), 0);
                        servers.updateHosts(othersThan(self, 6), 0);
                        servers.updateHosts(othersThan(self, 6), SETTLED);
                        return servers;
                    })
                    .toList();
            assertThat(fleet.stream()
                            .filter(servers -> servers.isHolder(SERVER, RATE))
                            .count())
                    .isEqualTo(2);
        }

        @Test
        void send_at_most_the_rate_and_one_request_each() {
            int sent = settledFleet(6).stream()
                    .peek(servers -> servers.recordStatement(SERVER, 60_000, COLD_MILLIS, SETTLED))
                    .mapToInt(servers -> sendFor(servers, SETTLED, SETTLED + 10_000))
                    .sum();
            assertWithMessage("requests in 10 s").that(sent).isIn(List.of(68, 72));
        }

        // Hosts that had been frozen, or had no requests, came back with the tokens of that time.
        @Test
        void save_no_more_than_one_token() {
            ColdServers servers = holder();
            assertThat(servers.recordStatement(SERVER, 60_000, COLD_MILLIS, SETTLED))
                    .isTrue();
            assertThat(servers.mayUse(SERVER, RATE, SETTLED)).isFalse();
            assertThat(sendFor(servers, SETTLED + 30_000, SETTLED + 30_100)).isEqualTo(1);
        }

        @Test
        void tell_how_long_to_wait_for_a_token() {
            ColdServers servers = holder();
            assertThat(servers.recordStatement(SERVER, 60_000, COLD_MILLIS, SETTLED))
                    .isTrue();
            assertThat(servers.waitMillis(SERVER, RATE, SETTLED)).isEqualTo(548);
            assertThat(servers.waitMillis(SERVER, RATE, SETTLED + 300)).isEqualTo(248);
            assertThat(noHolder().waitMillis(SERVER, RATE, SETTLED)).isEqualTo(0);
        }
    }

    @Nested
    final class AHostThatHasJustStarted {
        private long usersOf(long server, int hostCount, long[] others, long nowMillis) {
            return IntStream.range(0, hostCount)
                    .mapToObj(ColdServersTest::started)
                    .peek(servers -> servers.updateHosts(others, nowMillis))
                    .filter(servers -> servers.isHolder(server, RATE))
                    .count();
        }

        // 360 hosts that do not know one another would all be holders.
        @Test
        void uses_few_servers_and_seldom() {
            double average = IntStream.range(0, 100)
                    .mapToLong(index -> usersOf(StableHash.of("s" + index), 360, new long[0], 0))
                    .average()
                    .orElseThrow();
            assertThat(average).isWithin(1).of(360 / 64.0);
            ColdServers user = IntStream.range(0, 360)
                    .mapToObj(ColdServersTest::started)
                    .filter(servers -> servers.isHolder(SERVER, RATE))
                    .findFirst()
                    .orElseThrow();
            assertThat(user.recordStatement(SERVER, 60_000, COLD_MILLIS, 0)).isTrue();
            assertThat(sendFor(user, 0, 2_000)).isEqualTo(0);
            assertThat(sendFor(user, 2_000, 12_000)).isAtMost(5);
        }

        @Test
        void uses_few_servers_while_its_list_of_hosts_grows() {
            ColdServers servers = started(0);
            IntStream.rangeClosed(1, 10).forEach(step -> servers.updateHosts(othersThan(0, step * 10), step * 2_000L));
            assertThat(IntStream.range(0, 1_000)
                            .filter(index -> servers.isHolder(StableHash.of("s" + index), RATE))
                            .count())
                    .isLessThan(30);
        }
    }

    /** Groups of hosts that are cut off from one another would have holders each. */
    @Nested
    final class ADividedFleet {
        private long holdersAfterDivision(int groups) {
            return IntStream.range(0, 60)
                    .mapToObj(self -> {
                        ColdServers servers = settled(self, 60);
                        long[] group = IntStream.range(0, 60)
                                .filter(other -> other != self && other % groups == self % groups)
                                .mapToLong(ColdServersTest::host)
                                .toArray();
                        servers.updateHosts(group, SETTLED + 60_000);
                        servers.updateHosts(group, SETTLED + 600_000);
                        return servers;
                    })
                    .filter(servers -> servers.isHolder(SERVER, RATE))
                    .count();
        }

        @Test
        void has_not_the_holders_of_several_fleets() {
            assertThat(holdersAfterDivision(2)).isAtMost(4);
            assertThat(holdersAfterDivision(10)).isAtMost(4);
            assertThat(holdersAfterDivision(60)).isAtMost(4);
        }

        @Test
        void keeps_its_holders_among_the_larger_part() {
            ColdServers servers = settled(0, 60);
            servers.updateHosts(othersThan(0, 40), SETTLED + 60_000);
            assertThat(IntStream.range(0, 1_000)
                            .filter(index -> servers.isHolder(StableHash.of("s" + index), RATE))
                            .count())
                    .isGreaterThan(60);
        }
    }

    @Nested
    final class RecentPriorityLevels {
        @Test
        void leave_tokens_to_the_most_urgent_requests_of_the_last_second() {
            RecentPriorities priorities = new RecentPriorities();
            priorities.record("llm", 0, 0);
            priorities.record("llm", 1, 900);
            assertThat(priorities.isHighest("llm", 0, 900)).isTrue();
            assertThat(priorities.isHighest("llm", 1, 900)).isFalse();
            assertThat(priorities.isHighest("desk", 1, 900)).isTrue();
            assertThat(priorities.isHighest("llm", 1, 1_001)).isTrue();
        }
    }
}
