package io.heatherloft.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.daemon.fakes.FakeCaller;
import io.heatherloft.daemon.fakes.FakeConfiguration;
import io.heatherloft.daemon.fakes.FakeFleet;
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
 * Whole sessions as callers see them and as the hosts explain them, beside the recorded ones. To record anew, run with
 * {@code -Dtest.options=-Dheatherloft.record-golden=true} and read the difference.
 */
final class GoldenSessionsTest {
    private static final Path DIRECTORY = Path.of("src/test/resources/golden");

    private final FakeFleet fleet = FakeFleet.ready(21, 4);
    private final List<String> transcript = new ArrayList<>();

    @Test
    void a_season_plan_over_two_hosts_with_a_lost_backend_server() throws IOException {
        FakeCaller first = fleet.chat(fleet.host(0), "large", "season plan", "session-1", "id-1", true);
        fleet.schedule.advance(100);
        fleet.backends.crash(fleet.backends.dispatches().get(0).address());
        fleet.schedule.advance(8_000);
        note("plan", fleet.host(0), "id-1", first);
        FakeCaller second = fleet.chat(fleet.host(2), "summary", "shorter, please", "session-1", "id-2", false);
        fleet.schedule.advance(8_000);
        note("summary", fleet.host(2), "id-2", second);
        compare("season-plan.txt");
    }

    @Test
    void a_swap_confirmed_twice() throws IOException {
        FakeCaller first = fleet.book(fleet.host(0), "swap chair 4", "id-1");
        fleet.schedule.advance(2_000);
        note("swap", fleet.host(0), "id-1", first);
        FakeCaller second = fleet.book(fleet.host(3), "swap chair 4", "id-1");
        fleet.schedule.advance(2_000);
        note("swap again", fleet.host(3), "id-1", second);
        compare("swap-confirmed-twice.txt");
    }

    @Test
    void a_regrind_booking_through_a_host_loss() throws IOException {
        fleet.book(fleet.host(1), "regrind granites 7", "id-1");
        while (fleet.backends.bookings().isEmpty()) {
            fleet.schedule.advance(1);
        }
        fleet.host(1).loop().kill();
        fleet.schedule.advance(6_000);
        FakeCaller resent = fleet.book(fleet.host(2), "regrind granites 7", "id-1");
        fleet.schedule.advance(3_000);
        note("booking again", fleet.host(2), "id-1", resent);
        transcript.add("ran " + fleet.backends.bookings());
        compare("regrind-host-loss.txt");
    }

    @Test
    void a_withdrawal_in_mid_session() throws IOException {
        apply(new FakeConfiguration().sharePercent(0).moveWithdrawnSessions());
        FakeCaller before = fleet.chat(fleet.host(0), "small", "sharpening?", "session-1", "id-1", true);
        fleet.schedule.advance(3_000);
        note("before", fleet.host(0), "id-1", before);
        apply(new FakeConfiguration().sharePercent(0).moveWithdrawnSessions().withdrawFirst());
        FakeCaller moved = fleet.chat(fleet.host(1), "small", "and now?", "session-1", "id-2", true);
        fleet.schedule.advance(3_000);
        note("moved", fleet.host(1), "id-2", moved);
        apply(new FakeConfiguration().sharePercent(0).withdrawFirst().forbidSecond());
        FakeCaller refused = fleet.chat(fleet.host(2), "small", "still?", "session-1", "id-3", true);
        fleet.schedule.advance(3_000);
        note("refused", fleet.host(2), "id-3", refused);
        compare("withdrawal-in-mid-session.txt");
    }

    private void apply(FakeConfiguration configuration) {
        Futures.onResult(fleet.apply(configuration), _outcome -> {});
        fleet.schedule.advance(8_000);
    }

    private void note(String what, FakeFleet.Host host, String id, FakeCaller caller) {
        transcript.add("== " + what);
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

    private void compare(String name) throws IOException {
        String played = transcript.stream().collect(Collectors.joining("\n", "", "\n"));
        Path file = DIRECTORY.resolve(name);
        if (Boolean.getBoolean("heatherloft.record-golden")) {
            Files.createDirectories(DIRECTORY);
            Files.writeString(file, played);
        }
        assertThat(played).isEqualTo(Files.readString(file, StandardCharsets.UTF_8));
    }
}
