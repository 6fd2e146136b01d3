package io.heatherloft.soak;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.heatherloft.soak.InvariantChecker.Kind;
import io.heatherloft.soak.InvariantChecker.ReceivedResponse;
import io.heatherloft.soak.InvariantChecker.SentRequest;
import io.heatherloft.standins.platform.RunnerStandIn;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class SoakTest {
    private static final int EVENTS = 3;

    @Nested
    final class TheInvariantChecker {
        private final InvariantChecker checker = new InvariantChecker();
        private final SentRequest booking = new SentRequest(Kind.BOOKING, "b");

        @Test
        void finds_a_booking_that_ran_twice_and_one_that_was_refused_though_it_ran() {
            checker.onSent(booking);
            checker.onExecuted(new RunnerStandIn.ExecutedRequest("b", Optional.of("malmo"), false));
            checker.onExecuted(new RunnerStandIn.ExecutedRequest("b", Optional.of("malmo"), false));
            checker.checkFinalState(Map.of("b", 503));
            assertThat(checker.findings())
                    .containsExactly("b: was executed 2 times", "b: was executed but refused with status 503");
        }

        @Test
        void finds_a_request_that_nobody_sent_and_a_key_that_was_passed_on() {
            checker.onExecuted(new RunnerStandIn.ExecutedRequest("x", Optional.of("malmo"), false));
            checker.onSent(booking);
            checker.onExecuted(new RunnerStandIn.ExecutedRequest("b", Optional.of("malmo"), true));
            assertThat(checker.findings()).hasSize(2);
        }

        @Test
        void finds_an_answer_of_another_request_and_a_stream_that_lacks_its_end() {
            SentRequest stream = new SentRequest(Kind.STREAM, "s");
            checker.onReceived(booking, new ReceivedResponse(200, "c", "desk-1.seal", "answer of desk-1"), EVENTS);
            checker.onReceived(stream, new ReceivedResponse(200, "s", "llm-1.seal", StreamBody.withEvents(2)), EVENTS);
            checker.onReceived(stream, new ReceivedResponse(200, "s", "llm-1.seal", StreamBody.withEvents(3)), EVENTS);
            assertThat(checker.findings()).hasSize(2);
        }
    }

    @Nested
    final class AHost {
        @TempDir
        Path directory;

        // A SIGHUP that arrived before startup was complete terminated the process with exit code 129. Found by the
        // soak with seed 2 and 15 steps.
        @Test
        void survives_sighup_as_soon_as_it_listens() throws InterruptedException {
            try (SoakFleet fleet = new SoakFleet(directory, 1)) {
                HostProcess host = fleet.hosts().get(0);
                while (host.isAlive() && !host.isListening()) {
                    Thread.sleep(1);
                }
                host.sendSignal("HUP");
                SoakCaller caller = new SoakCaller("c", List.of(), 1);
                int status = 0;
                while (host.isAlive() && status != 200) {
                    SoakCaller.Exchange exchange = caller.send(Kind.LOOKUP, host.callerAddress());
                    status = exchange.response() == null
                            ? 0
                            : exchange.response().status();
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

        @Tag("known-red")
        @Test
        void completes_every_step_as_expected() throws InterruptedException {
            ByteArrayOutputStream printed = new ByteArrayOutputStream();
            boolean passed = PlatformDemo.run(new PrintStream(printed, true, StandardCharsets.UTF_8), directory);
            assertWithMessage("%s", printed.toString(StandardCharsets.UTF_8))
                    .that(passed)
                    .isTrue();
        }
    }

    @Nested
    final class AShortRun {
        @TempDir
        Path directory;

        private void checkRun(long seed, int steps) throws InterruptedException {
            SoakRun run = new SoakRun(seed, steps, 3, directory);
            List<String> findings = run.run();
            assertWithMessage("%s", run.trace()).that(findings).isEmpty();
        }

        @Tag("known-red")
        @Test
        void violates_no_invariant() throws InterruptedException {
            checkRun(1, 12);
        }

        // A host that had not learned that the server with unframed streams had left sent it a request with the
        // crashing part. Its whole response showed that the part was sound, and all hosts released it.
        @Test
        void with_seed_101_violates_no_invariant() throws InterruptedException {
            checkRun(101, 8);
        }
    }
}
