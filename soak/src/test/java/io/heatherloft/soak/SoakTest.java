package io.heatherloft.soak;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.heatherloft.soak.PromiseCheck.Kind;
import io.heatherloft.soak.PromiseCheck.Received;
import io.heatherloft.soak.PromiseCheck.Sent;
import io.heatherloft.standins.platform.RunnerStandIn;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class SoakTest {
    private static final int EVENTS = 3;

    @Nested
    final class TheCheck {
        private final PromiseCheck check = new PromiseCheck();
        private final Sent booking = new Sent(Kind.BOOKING, "b");

        @Test
        void finds_a_booking_that_ran_twice_and_one_that_was_refused_though_it_ran() {
            check.onSent(booking);
            check.onRun(new RunnerStandIn.ExecutedRequest("b", Optional.of("malmo"), false));
            check.onRun(new RunnerStandIn.ExecutedRequest("b", Optional.of("malmo"), false));
            check.onEnd(Map.of("b", 503));
            assertThat(check.findings()).containsExactly("b: ran 2 times", "b: was refused with 503 and ran");
        }

        @Test
        void finds_a_request_that_nobody_sent_and_a_key_that_was_passed_on() {
            check.onRun(new RunnerStandIn.ExecutedRequest("x", Optional.of("malmo"), false));
            check.onSent(booking);
            check.onRun(new RunnerStandIn.ExecutedRequest("b", Optional.of("malmo"), true));
            assertThat(check.findings()).hasSize(2);
        }

        @Test
        void finds_an_answer_of_another_request_and_a_stream_that_lacks_its_end() {
            Sent stream = new Sent(Kind.STREAM, "s");
            check.onReceived(booking, new Received(200, "c", "desk-1.seal", "answer of desk-1"), EVENTS);
            check.onReceived(stream, new Received(200, "s", "llm-1.seal", StreamText.whole(2)), EVENTS);
            check.onReceived(stream, new Received(200, "s", "llm-1.seal", StreamText.whole(3)), EVENTS);
            assertThat(check.findings()).hasSize(2);
        }
    }

    @Nested
    final class AHost {
        @TempDir
        Path directory;

        // Seed 2 with 15 steps: a hang-up between a start and its end ended the process with 129.
        @Test
        void survives_a_hang_up_as_soon_as_it_listens() throws InterruptedException {
            try (SoakFleet fleet = new SoakFleet(directory, 1)) {
                HostProcess host = fleet.hosts().get(0);
                while (host.isAlive() && !host.listens()) {
                    Thread.sleep(1);
                }
                host.signal("HUP");
                SoakCaller caller = new SoakCaller("c", List.of(), 1);
                int status = 0;
                while (host.isAlive() && status != 200) {
                    SoakCaller.Exchange exchange = caller.send(Kind.LOOKUP, host.callerAddress());
                    status = exchange.answer() == null ? 0 : exchange.answer().status();
                }
                assertThat(host.isAlive()).isTrue();
                assertThat(status).isEqualTo(200);
            }
        }
    }

    @Nested
    final class TheDemo {
        @TempDir
        Path directory;

        @Test
        void shows_what_it_announces() throws InterruptedException {
            ByteArrayOutputStream printed = new ByteArrayOutputStream();
            boolean asAnnounced = PlatformDemo.run(new PrintStream(printed, true, StandardCharsets.UTF_8), directory);
            assertWithMessage("%s", printed.toString(StandardCharsets.UTF_8))
                    .that(asAnnounced)
                    .isTrue();
        }
    }

    @Nested
    final class AShortRun {
        @TempDir
        Path directory;

        @Test
        void keeps_every_promise() throws InterruptedException {
            SoakRun run = new SoakRun(1, 12, directory);
            List<String> findings = run.run();
            assertWithMessage("%s", run.trace()).that(findings).isEmpty();
        }
    }
}
