package io.heatherloft.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.daemon.fakes.FakeCaller;
import io.heatherloft.daemon.fakes.SampleConfiguration;
import io.heatherloft.daemon.fakes.SimulatedFleet;
import io.heatherloft.ports.loop.Futures;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class SessionGuaranteesTest {
    private static final String VERSION_HEADER = "Heatherloft-Version";

    private final SimulatedFleet fleet = SimulatedFleet.ready(3, 4);

    private void apply(SampleConfiguration configuration) {
        Futures.onResult(fleet.apply(configuration), _outcome -> {});
        fleet.scheduler.advance(8_000);
    }

    private FakeCaller sendRequest(int host, String session) {
        FakeCaller caller = fleet.chat(fleet.host(host), "small", "covered?", session, "", true);
        fleet.scheduler.advance(4_000);
        return caller;
    }

    @Nested
    final class SessionsKeepTheirVersion {
        @Test
        void on_every_host_while_the_rollout_share_rises() {
            apply(new SampleConfiguration().sharePercent(10));
            for (int session = 0; session < 12; session++) {
                sendRequest(0, "session-" + session);
            }
            apply(new SampleConfiguration().sharePercent(90));
            for (int session = 0; session < 12; session++) {
                Set<String> versions = new HashSet<>();
                versions.add(sendRequest(session % 4, "session-" + session).header(VERSION_HEADER));
                versions.add(
                        sendRequest((session + 1) % 4, "session-" + session).header(VERSION_HEADER));
                assertThat(versions).hasSize(1);
            }
            long onNewVersion = fleet.backends.dispatches().stream()
                    .filter(dispatch -> dispatch.version().equals("small@2"))
                    .count();
            long newSessionsOnNewVersion = 0;
            for (int session = 100; session < 112; session++) {
                newSessionsOnNewVersion += sendRequest(0, "session-" + session)
                                .header(VERSION_HEADER)
                                .equals("small@2")
                        ? 1
                        : 0;
            }
            assertThat(newSessionsOnNewVersion).isGreaterThan(onNewVersion / 3);
        }

        @Test
        void when_hosts_with_different_shares_start_the_same_session_concurrently() {
            Futures.onResult(fleet.apply(new SampleConfiguration().sharePercent(100)), _outcome -> {});
            while (fleet.hosts().stream()
                    .noneMatch(host -> host.core().fleet().configuration().generation() == 2)) {
                fleet.scheduler.advance(1);
            }
            Set<String> versions = new HashSet<>();
            FakeCaller[] callers = new FakeCaller[4];
            for (int index = 0; index < 4; index++) {
                callers[index] = fleet.chat(fleet.host(index), "small", "covered?", "session-1", "", true);
            }
            fleet.scheduler.advance(5_000);
            for (FakeCaller caller : callers) {
                versions.add(caller.header(VERSION_HEADER));
            }
            assertThat(versions).hasSize(1);
        }

        @Test
        void during_a_store_outage_although_the_host_that_pinned_the_version_crashed() {
            String before = sendRequest(1, "session-1").header(VERSION_HEADER);
            apply(new SampleConfiguration().sharePercent(before.equals("small@1") ? 100 : 0));
            fleet.store.setDown(true);
            fleet.scheduler.advance(1_000);
            fleet.host(1).loop().kill();
            fleet.scheduler.advance(8_000);
            FakeCaller after = sendRequest(2, "session-1");
            boolean kept = after.header(VERSION_HEADER).equals(before);
            boolean refused = after.header("Heatherloft-Run").equals("not-run");
            assertThat(kept || refused).isTrue();
        }
    }

    @Nested
    final class SessionsOfWithdrawnVersions {
        @Test
        void are_refused_when_the_workspace_is_configured_to_refuse() {
            apply(new SampleConfiguration().sharePercent(0));
            assertThat(sendRequest(0, "session-1").header(VERSION_HEADER)).isEqualTo("small@1");
            apply(new SampleConfiguration().sharePercent(0).withdrawFirstVersion());
            FakeCaller refused = sendRequest(1, "session-1");
            assertThat(refused.status()).isEqualTo(409);
            assertThat(refused.header("Heatherloft-Run")).isEqualTo("not-run");
            assertThat(refused.body()).contains("session-ended");
        }

        @Test
        void move_to_the_successor_and_stay_there_when_the_workspace_is_configured_to_move() {
            apply(new SampleConfiguration().sharePercent(0).moveWithdrawnSessions());
            assertThat(sendRequest(0, "session-1").header(VERSION_HEADER)).isEqualTo("small@1");
            apply(new SampleConfiguration()
                    .sharePercent(0)
                    .withdrawFirstVersion()
                    .moveWithdrawnSessions());
            assertThat(sendRequest(1, "session-1").header(VERSION_HEADER)).isEqualTo("small@2");
            assertThat(sendRequest(2, "session-1").header(VERSION_HEADER)).isEqualTo("small@2");
        }

        @Test
        void complete_the_request_in_progress() {
            apply(new SampleConfiguration().sharePercent(0));
            FakeCaller running = fleet.chat(fleet.host(0), "small", "covered?", "session-1", "", true);
            fleet.scheduler.advance(60);
            apply(new SampleConfiguration().sharePercent(0).withdrawFirstVersion());
            assertThat(running.isFinished()).isTrue();
            assertThat(running.header(VERSION_HEADER)).isEqualTo("small@1");
        }
    }
}
