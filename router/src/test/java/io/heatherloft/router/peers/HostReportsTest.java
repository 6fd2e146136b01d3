package io.heatherloft.router.peers;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.peer.generated.BackendLoad;
import io.heatherloft.peer.generated.HostReport;
import io.heatherloft.ports.loop.Loop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class HostReportsTest {
    /** A loop with a manually advanced clock, which accepts no tasks. */
    private static final class ManualClockLoop implements Loop {
        private long now = 1_000_000;

        @Override
        public long nowMillis() {
            return now;
        }

        @Override
        public void execute(Runnable _task) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Cancellation schedule(long _delayMillis, Runnable _task) {
            throw new UnsupportedOperationException();
        }
    }

    @Nested
    final class OutstandingRequests {
        private final ManualClockLoop loop = new ManualClockLoop();
        private final HostReports reports = new HostReports(loop, "self");

        // A large fleet: each of 58 hosts reports its outstanding requests on some of 78 servers.
        @Test
        void are_the_sums_of_the_newest_recent_reports_of_other_hosts() {
            Random random = new Random(9);
            Map<String, Map<String, Integer>> newest = new HashMap<>();
            for (int round = 1; round <= 3; round++) {
                for (int host = 0; host < 58; host++) {
                    HostReport.Builder report = HostReport.newBuilder()
                            .setHost(host == 0 ? "self" : "h" + host)
                            .setIncarnation(1)
                            .setSequence(round);
                    Map<String, Integer> reported = new HashMap<>();
                    for (int load = 0; load < 10; load++) {
                        reported.put("i" + random.nextInt(78), 1 + random.nextInt(5));
                    }
                    reported.forEach((id, outstanding) -> report.addLoads(
                            BackendLoad.newBuilder().setBackendId(id).setOutstanding(outstanding)));
                    reports.add(report.build());
                    if (host != 0) {
                        newest.put("h" + host, reported);
                    }
                }
            }
            Map<String, Integer> expected = new HashMap<>();
            newest.values()
                    .forEach(reported -> reported.forEach((id, count) -> expected.merge(id, count, Integer::sum)));
            assertThat(reports.outstandingByBackend()).isEqualTo(expected);
        }

        @Test
        void of_a_host_that_stopped_reporting_are_excluded() {
            reports.add(HostReport.newBuilder()
                    .setHost("h1")
                    .setIncarnation(1)
                    .setSequence(1)
                    .addLoads(BackendLoad.newBuilder().setBackendId("i1").setOutstanding(4))
                    .build());
            assertThat(reports.outstandingByBackend()).containsExactly("i1", 4);
            loop.now += 1_500;
            assertThat(reports.outstandingByBackend()).isEmpty();
        }
    }

    @Nested
    final class ALargeFleet {
        // Small fleets keep the selection by load alone.
        @Test
        void has_at_least_24_hosts_including_this_one() {
            HostReports reports = new HostReports(new ManualClockLoop(), "self");
            IntStream.range(0, 22)
                    .forEach(host -> reports.add(
                            HostReport.newBuilder().setHost("h" + host).build()));
            assertThat(reports.isLargeFleet()).isFalse();
            reports.add(HostReport.newBuilder().setHost("h22").build());
            assertThat(reports.isLargeFleet()).isTrue();
        }
    }

    @Nested
    final class ReportedLoads {
        private final ManualClockLoop loop = new ManualClockLoop();
        private final HostReports reports = new HostReports(loop, "self");

        private void add(String host, int sequence, int requests, long tokens, int ageMillis) {
            reports.add(HostReport.newBuilder()
                    .setHost(host)
                    .setSequence(sequence)
                    .setAgeMillis(ageMillis)
                    .addLoads(BackendLoad.newBuilder()
                            .setBackendId("i1")
                            .setOutstanding(requests)
                            .setTokens(tokens))
                    .build());
        }

        // Guards against sums that are kept although a report has come, has aged, or has been dropped.
        @Test
        void are_the_sums_of_requests_and_tokens_by_age() {
            long now = loop.nowMillis();
            add("h1", 1, 4, 9_000, 300);
            add("h2", 1, 2, 500, 1_000);
            assertThat(reports.reportedLoads())
                    .containsExactly("i1", new HostReports.ReportedLoad(6, 4, 9_500, now - 1_000));
            loop.now += 200;
            assertThat(reports.reportedLoads())
                    .containsExactly("i1", new HostReports.ReportedLoad(6, 0, 9_500, now - 1_000));
            loop.now += 300;
            assertThat(reports.reportedLoads())
                    .containsExactly("i1", new HostReports.ReportedLoad(4, 0, 9_000, now - 300));
            add("h1", 2, 1, 70, 0);
            assertThat(reports.reportedLoads())
                    .containsExactly("i1", new HostReports.ReportedLoad(1, 1, 70, now + 500));
        }
    }

    @Nested
    final class RelayAddresses {
        private final HostReports reports = new HostReports(new ManualClockLoop(), "self");

        private void add(int index, String zone, boolean cutOff) {
            reports.add(HostReport.newBuilder()
                    .setHost("h" + index)
                    .setSequence(1)
                    .setAvailabilityZone(zone)
                    .setRelayAddress("r" + index)
                    .setCutOff(cutOff)
                    .build());
        }

        @Test
        void begin_with_a_host_in_the_same_zone_and_one_in_another() {
            reports.offerRelay("a", "self", () -> false);
            IntStream.range(0, 40).forEach(index -> add(index, index < 20 ? "a" : "b", false));
            List<String> addresses = reports.relayAddresses(new Random(1));
            assertThat(addresses).hasSize(40);
            assertThat(Integer.parseInt(addresses.get(0).substring(1))).isLessThan(20);
            assertThat(Integer.parseInt(addresses.get(1).substring(1))).isAtLeast(20);
        }

        // Incident RECOVER: a zone that is cut off must not ask its own hosts, nor all of them the same host of another
        // zone.
        @Test
        void of_a_zone_that_is_cut_off_are_spread_over_the_other_zones() {
            for (int hosts : List.of(6, 58, 360)) {
                HostReports known = new HostReports(new ManualClockLoop(), "self");
                known.offerRelay("z0", "self", () -> true);
                IntStream.range(0, hosts)
                        .forEach(index -> known.add(HostReport.newBuilder()
                                .setHost("h" + index)
                                .setSequence(1)
                                .setAvailabilityZone("z" + index % 4)
                                .setRelayAddress("r" + index)
                                .setCutOff(index % 4 == 0)
                                .build()));
                Random random = new Random(hosts);
                Map<String, Integer> asked = new HashMap<>();
                int connections = 20 * hosts;
                IntStream.range(0, connections)
                        .forEach(_index ->
                                asked.merge(known.relayAddresses(random).get(0), 1, Integer::sum));
                int others = (int) IntStream.range(0, hosts)
                        .filter(index -> index % 4 != 0)
                        .count();
                assertThat(asked).hasSize(others);
                assertThat(asked.values().stream()
                                .mapToInt(Integer::intValue)
                                .max()
                                .orElse(0))
                        .isAtMost(3 * connections / others);
            }
        }
    }

    /** The pattern of a value that every host is about to write at the same moment. */
    @Nested
    final class TurnsToWrite {
        private static final long KNOWN_AFTER_MILLIS = 1_000L;
        private static final int MAX_WRITERS = 3;

        private List<Long> delays(int hostCount, String purpose) {
            return IntStream.range(0, hostCount)
                    .mapToObj(self -> {
                        HostReports reports = new HostReports(new ManualClockLoop(), "h" + self);
                        IntStream.range(0, hostCount)
                                .forEach(host -> reports.add(HostReport.newBuilder()
                                        .setHost("h" + host)
                                        .setIncarnation(1)
                                        .setSequence(1)
                                        .build()));
                        return reports.writeDelayMillis(purpose);
                    })
                    .toList();
        }

        @ParameterizedTest
        @ValueSource(ints = {6, 95, 360})
        void let_few_hosts_write_before_the_others_learn_of_it(int hostCount) {
            IntStream.range(0, 20).forEach(purpose -> {
                List<Long> delays = delays(hostCount, "purpose " + purpose);
                long first = delays.stream().mapToLong(Long::longValue).min().orElseThrow();
                assertThat(first).isEqualTo(0);
                assertThat(delays.stream()
                                .filter(delay -> delay < first + KNOWN_AFTER_MILLIS)
                                .count())
                        .isAtMost(MAX_WRITERS);
            });
        }

        @Test
        void fall_to_different_hosts_for_different_values() {
            long writers = IntStream.range(0, 40)
                    .mapToObj(purpose -> delays(20, "purpose " + purpose).indexOf(0L))
                    .distinct()
                    .count();
            assertThat(writers).isAtLeast(10);
        }

        @Test
        void are_spread_among_hosts_that_know_no_other() {
            long different = IntStream.range(0, 95)
                    .mapToObj(self -> new HostReports(new ManualClockLoop(), "h" + self).writeDelayMillis("x"))
                    .distinct()
                    .count();
            assertThat(different).isAtLeast(60);
        }
    }
}
