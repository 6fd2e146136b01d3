package io.heatherloft.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.daemon.fakes.FakeCaller;
import io.heatherloft.daemon.fakes.SampleConfiguration;
import io.heatherloft.daemon.fakes.SimulatedFleet;
import io.heatherloft.daemon.request.Explanation;
import io.heatherloft.ports.loop.Futures;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/**
 * Compares the responses and explanations of complete scenarios with golden files. To update the golden files, run with
 * {@code -Dtest.options=-Dheatherloft.record-golden=true} and review the diff.
 */
final class GoldenTranscriptTest {
    private static final Path DIRECTORY = Path.of("src/test/resources/golden");

    private final SimulatedFleet fleet = SimulatedFleet.ready(21, 4);
    private final List<String> transcript = new ArrayList<>();

    @Test
    void a_session_on_two_hosts_with_a_crashed_backend_server() throws IOException {
        FakeCaller first = fleet.chat(fleet.host(0), "large", "season plan", "session-1", "id-1", true);
        fleet.scheduler.advance(100);
        fleet.backends.crash(fleet.backends.dispatches().get(0).address());
        fleet.scheduler.advance(8_000);
        recordExchange("plan", fleet.host(0), "id-1", first);
        FakeCaller second = fleet.chat(fleet.host(2), "summary", "shorter, please", "session-1", "id-2", false);
        fleet.scheduler.advance(8_000);
        recordExchange("summary", fleet.host(2), "id-2", second);
        assertMatchesGoldenFile("season-plan.txt");
    }

    @Test
    void a_booking_sent_twice() throws IOException {
        FakeCaller first = fleet.book(fleet.host(0), "swap chair 4", "id-1");
        fleet.scheduler.advance(2_000);
        recordExchange("swap", fleet.host(0), "id-1", first);
        FakeCaller second = fleet.book(fleet.host(3), "swap chair 4", "id-1");
        fleet.scheduler.advance(2_000);
        recordExchange("swap again", fleet.host(3), "id-1", second);
        assertMatchesGoldenFile("swap-confirmed-twice.txt");
    }

    @Test
    void a_booking_resent_after_its_host_crashed() throws IOException {
        fleet.book(fleet.host(1), "regrind granites 7", "id-1");
        while (fleet.backends.bookings().isEmpty()) {
            fleet.scheduler.advance(1);
        }
        fleet.host(1).loop().kill();
        fleet.scheduler.advance(6_000);
        FakeCaller resent = fleet.book(fleet.host(2), "regrind granites 7", "id-1");
        fleet.scheduler.advance(3_000);
        recordExchange("booking again", fleet.host(2), "id-1", resent);
        transcript.add("ran " + fleet.backends.bookings());
        assertMatchesGoldenFile("regrind-host-loss.txt");
    }

    @Test
    void a_version_withdrawn_during_a_session() throws IOException {
        apply(new SampleConfiguration().sharePercent(0).moveWithdrawnSessions());
        FakeCaller before = fleet.chat(fleet.host(0), "small", "sharpening?", "session-1", "id-1", true);
        fleet.scheduler.advance(3_000);
        recordExchange("before", fleet.host(0), "id-1", before);
        apply(new SampleConfiguration().sharePercent(0).moveWithdrawnSessions().withdrawFirstVersion());
        FakeCaller moved = fleet.chat(fleet.host(1), "small", "and now?", "session-1", "id-2", true);
        fleet.scheduler.advance(3_000);
        recordExchange("moved", fleet.host(1), "id-2", moved);
        apply(new SampleConfiguration().sharePercent(0).withdrawFirstVersion().disallowSecondVersion());
        FakeCaller refused = fleet.chat(fleet.host(2), "small", "still?", "session-1", "id-3", true);
        fleet.scheduler.advance(3_000);
        recordExchange("refused", fleet.host(2), "id-3", refused);
        assertMatchesGoldenFile("withdrawal-in-mid-session.txt");
    }

    private void apply(SampleConfiguration configuration) {
        Futures.onResult(fleet.apply(configuration), _outcome -> {});
        fleet.scheduler.advance(8_000);
    }

    private void recordExchange(String title, SimulatedFleet.Host host, String id, FakeCaller caller) {
        transcript.add("== " + title);
        transcript.add("status " + caller.status() + (caller.isFinished() ? " finished" : " not finished"));
        for (String header : List.of("Heatherloft-Run", "Heatherloft-Version", "Heatherloft-Replayed")) {
            transcript.add(header + ": " + caller.header(header));
        }
        transcript.add(caller.body().strip());
        Explanation.View view =
                host.core().explanations().find(id).orElseThrow().view();
        view.events()
                .forEach(
                        event -> transcript.add("+" + event.afterMillis() + " " + event.what() + " " + event.detail()));
        transcript.add(view.outcome() + " " + view.totalMicros() + " micros");
    }

    private void assertMatchesGoldenFile(String name) throws IOException {
        String actual = transcript.stream().collect(Collectors.joining("\n", "", "\n"));
        Path file = DIRECTORY.resolve(name);
        if (Boolean.getBoolean("heatherloft.record-golden")) {
            Files.createDirectories(DIRECTORY);
            Files.writeString(file, actual);
        }
        assertThat(actual).isEqualTo(Files.readString(file, StandardCharsets.UTF_8));
    }
}
