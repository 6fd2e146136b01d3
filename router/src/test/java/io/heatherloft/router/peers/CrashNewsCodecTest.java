package io.heatherloft.router.peers;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.domain.route.CrashingRequestDetector;
import io.heatherloft.domain.route.CrashingRequestDetector.Answer;
import io.heatherloft.domain.route.CrashingRequestDetector.Crash;
import io.heatherloft.peer.generated.HostReport;
import io.heatherloft.peer.generated.RequestCrash;
import io.heatherloft.router.fleet.CrashingRequests.News;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class CrashNewsCodecTest {
    private static final long REQUEST = 7;

    @Nested
    final class NewsOfCrashingRequests {
        @Test
        void is_the_same_on_another_host_by_its_own_clock() {
            News sent = new News(
                    List.of(new Crash(1, "a@1", 900), new Crash(2, "a@1", 900), new Crash(1, "b@1", 700, 800)),
                    List.of(new Answer(3, 950)));
            News received = CrashNewsCodec.decode(CrashNewsCodec.encode(sent, 1_000), 5_000);
            assertThat(received.crashes())
                    .containsExactly(
                            new Crash(1, "a@1", 4_900), new Crash(2, "a@1", 4_900), new Crash(1, "b@1", 4_700, 4_800));
            assertThat(received.answers()).containsExactly(new Answer(3, 4_950));
        }
    }

    /** Builds that tell crashes in their reports alone, and clear requests for any response. */
    @Nested
    final class AReportOfAnEarlierBuild {
        private final HostReport report = HostReport.newBuilder()
                .addCrashes(RequestCrash.newBuilder().setRequestHash(REQUEST).setServer("a@1"))
                .addCrashes(RequestCrash.newBuilder().setRequestHash(REQUEST).setServer("b@1"))
                .addCrashes(RequestCrash.newBuilder().setRequestHash(REQUEST).setServer("c@1"))
                .addAnsweredSuspects(REQUEST)
                .build();

        private void merge(CrashingRequestDetector detector, long nowMillis) {
            News news = CrashNewsCodec.decode(report, nowMillis);
            news.crashes().forEach(crash -> detector.mergeCrash(crash, nowMillis));
            news.answers().forEach(answer -> detector.mergeAnswered(answer, nowMillis));
        }

        @Test
        void accuses_a_request_and_does_not_clear_it() {
            CrashingRequestDetector detector = new CrashingRequestDetector(0);
            merge(detector, 100_000);
            assertThat(detector.isBlocked(REQUEST, 100_000)).isTrue();
        }

        @Test
        void does_not_accuse_a_request_that_this_host_has_seen_answered_since() {
            CrashingRequestDetector detector = new CrashingRequestDetector(0);
            detector.mergeCrash(new Crash(REQUEST, "a@1", 99_000), 99_000);
            detector.recordAnswered(REQUEST, 99_500);
            merge(detector, 100_000);
            assertThat(detector.isBlocked(REQUEST, 100_000)).isFalse();
        }
    }
}
