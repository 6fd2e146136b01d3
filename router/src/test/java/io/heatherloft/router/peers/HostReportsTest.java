package io.heatherloft.router.peers;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.peer.generated.BackendLoad;
import io.heatherloft.peer.generated.HostReport;
import io.heatherloft.ports.loop.Loop;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class HostReportsTest {
    /** A loop whose clock the test moves; nothing runs on it. */
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

        // A large fleet: each host tells what it has in progress on some of 78 servers.
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
                    Map<String, Integer> told = new HashMap<>();
                    for (int load = 0; load < 10; load++) {
                        told.put("i" + random.nextInt(78), 1 + random.nextInt(5));
                    }
                    told.forEach((id, outstanding) -> report.addLoads(
                            BackendLoad.newBuilder().setBackendId(id).setOutstanding(outstanding)));
                    reports.add(report.build());
                    if (host != 0) {
                        newest.put("h" + host, told);
                    }
                }
            }
            Map<String, Integer> expected = new HashMap<>();
            newest.values().forEach(told -> told.forEach((id, count) -> expected.merge(id, count, Integer::sum)));
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
}
