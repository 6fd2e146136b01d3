package io.heatherloft.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.daemon.fakes.FakeCaller;
import io.heatherloft.daemon.fakes.FakeConfiguration;
import io.heatherloft.daemon.fakes.FakeFleet;
import io.heatherloft.ports.loop.Futures;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class SessionPromisesTest {
    private static final String VERSION_HEADER = "Heatherloft-Version";

    private final FakeFleet fleet = FakeFleet.ready(3, 4);

    private void apply(FakeConfiguration configuration) {
        Futures.onResult(fleet.apply(configuration), _outcome -> {});
        fleet.schedule.advance(8_000);
    }

    private FakeCaller ask(int host, String session) {
        FakeCaller caller = fleet.chat(fleet.host(host), "small", "covered?", session, "", true);
        fleet.schedule.advance(4_000);
        return caller;
    }

    @Nested
    final class KeepTheirVersion {
        @Test
        void on_every_host_and_through_a_rising_share() {
            apply(new FakeConfiguration().sharePercent(10));
            for (int session = 0; session < 12; session++) {
                ask(0, "session-" + session);
            }
            apply(new FakeConfiguration().sharePercent(90));
            for (int session = 0; session < 12; session++) {
                Set<String> versions = new HashSet<>();
                versions.add(ask(session % 4, "session-" + session).header(VERSION_HEADER));
                versions.add(ask((session + 1) % 4, "session-" + session).header(VERSION_HEADER));
                assertThat(versions).hasSize(1);
            }
            long onNewVersion = fleet.backends.dispatches().stream()
                    .filter(dispatch -> dispatch.version().equals("small@2"))
                    .count();
            long newSessionsOnNewVersion = 0;
            for (int session = 100; session < 112; session++) {
                newSessionsOnNewVersion +=
                        ask(0, "session-" + session).header(VERSION_HEADER).equals("small@2") ? 1 : 0;
            }
            assertThat(newSessionsOnNewVersion).isGreaterThan(onNewVersion / 3);
        }

        @Test
        void when_two_hosts_start_one_session_at_once_under_different_shares() {
            Futures.onResult(fleet.apply(new FakeConfiguration().sharePercent(100)), _outcome -> {});
            while (fleet.hosts().stream()
                    .noneMatch(host -> host.core().fleet().configuration().generation() == 2)) {
                fleet.schedule.advance(1);
            }
            Set<String> versions = new HashSet<>();
            FakeCaller[] callers = new FakeCaller[4];
            for (int index = 0; index < 4; index++) {
                callers[index] = fleet.chat(fleet.host(index), "small", "covered?", "session-1", "", true);
            }
            fleet.schedule.advance(5_000);
            for (FakeCaller caller : callers) {
                versions.add(caller.header(VERSION_HEADER));
            }
            assertThat(versions).hasSize(1);
        }

        @Test
        void during_an_outage_of_the_store_although_the_pinning_host_is_lost() {
            String before = ask(1, "session-1").header(VERSION_HEADER);
            apply(new FakeConfiguration().sharePercent(before.equals("small@1") ? 100 : 0));
            fleet.store.setDown(true);
            fleet.schedule.advance(1_000);
            fleet.host(1).loop().kill();
            fleet.schedule.advance(8_000);
            FakeCaller after = ask(2, "session-1");
            boolean kept = after.header(VERSION_HEADER).equals(before);
            boolean refused = after.header("Heatherloft-Run").equals("not-run");
            assertThat(kept || refused).isTrue();
        }
    }

    @Nested
    final class WithdrawnWins {
        @Test
        void the_next_request_is_refused_where_the_workspace_says_so() {
            apply(new FakeConfiguration().sharePercent(0));
            assertThat(ask(0, "session-1").header(VERSION_HEADER)).isEqualTo("small@1");
            apply(new FakeConfiguration().sharePercent(0).withdrawFirst());
            FakeCaller refused = ask(1, "session-1");
            assertThat(refused.status()).isEqualTo(409);
            assertThat(refused.header("Heatherloft-Run")).isEqualTo("not-run");
            assertThat(refused.body()).contains("session-ended");
        }

        @Test
        void the_session_moves_to_the_successor_where_the_workspace_says_so_and_stays_there() {
            apply(new FakeConfiguration().sharePercent(0).moveWithdrawnSessions());
            assertThat(ask(0, "session-1").header(VERSION_HEADER)).isEqualTo("small@1");
            apply(new FakeConfiguration().sharePercent(0).withdrawFirst().moveWithdrawnSessions());
            assertThat(ask(1, "session-1").header(VERSION_HEADER)).isEqualTo("small@2");
            assertThat(ask(2, "session-1").header(VERSION_HEADER)).isEqualTo("small@2");
        }

        @Test
        void what_already_runs_is_finished() {
            apply(new FakeConfiguration().sharePercent(0));
            FakeCaller running = fleet.chat(fleet.host(0), "small", "covered?", "session-1", "", true);
            fleet.schedule.advance(60);
            apply(new FakeConfiguration().sharePercent(0).withdrawFirst());
            assertThat(running.isFinished()).isTrue();
            assertThat(running.header(VERSION_HEADER)).isEqualTo("small@1");
        }
    }
}
