package io.heatherloft.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.daemon.fakes.AnswerText;
import io.heatherloft.daemon.fakes.FakeBackends;
import io.heatherloft.daemon.fakes.FakeCaller;
import io.heatherloft.daemon.fakes.SampleConfiguration;
import io.heatherloft.daemon.fakes.SimulatedFleet;
import io.heatherloft.domain.membership.Fact;
import io.heatherloft.ports.loop.Futures;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class RolloutWatchTest {
    private static final String BAD_VERSION = "small@2";

    private final SimulatedFleet fleet = SimulatedFleet.ready(11, 4);

    private void sendRequests(int count) {
        for (int index = 0; index < count; index++) {
            fleet.chat(fleet.host(index % 4), "small", "question " + index, "", "", true);
            fleet.scheduler.advance(200);
        }
        fleet.scheduler.advance(3_000);
    }

    private boolean isQuarantined(SimulatedFleet.Host host) {
        return host.core().fleet().facts().contains(Fact.Kind.VERSION_QUARANTINED, BAD_VERSION);
    }

    private void rateBadVersionPoorly() {
        fleet.setRating(question -> {
            String prompt = question.prompt();
            return question.answer().equals(AnswerText.expectedText(BAD_VERSION, prompt)) ? 0.5 : 0.9;
        });
    }

    @Nested
    final class PoorlyRatedVersion {
        @Test
        void is_quarantined_on_every_host_during_a_store_outage() {
            rateBadVersionPoorly();
            fleet.store.setDown(true);
            sendRequests(900);
            fleet.liveHosts().forEach(host -> assertThat(isQuarantined(host)).isTrue());
            FakeCaller after = fleet.chat(fleet.host(0), "small", "another", "", "", true);
            fleet.scheduler.advance(2_000);
            assertThat(after.header("Heatherloft-Version")).isEqualTo("small@1");
        }

        @Test
        void is_released_only_when_the_declaration_of_its_model_changes() {
            rateBadVersionPoorly();
            sendRequests(900);
            fleet.setRating(_question -> 0.9);
            Futures.onResult(fleet.apply(new SampleConfiguration().limits(63, 64, 16)), _outcome -> {});
            fleet.scheduler.advance(8_000);
            int dispatchesBefore = fleet.backends.dispatches().size();
            sendRequests(40);
            assertThat(versionsSince(dispatchesBefore)).doesNotContain(BAD_VERSION);
            Futures.onResult(fleet.apply(new SampleConfiguration().sharePercent(60)), _outcome -> {});
            fleet.scheduler.advance(8_000);
            dispatchesBefore = fleet.backends.dispatches().size();
            sendRequests(40);
            assertThat(versionsSince(dispatchesBefore)).contains(BAD_VERSION);
        }
    }

    @Nested
    final class WellRatedVersion {
        @Test
        void is_not_quarantined() {
            sendRequests(900);
            fleet.liveHosts().forEach(host -> assertThat(isQuarantined(host)).isFalse());
        }
    }

    private List<String> versionsSince(int dispatches) {
        return fleet.backends.dispatches().stream()
                .skip(dispatches)
                .map(FakeBackends.Dispatch::version)
                .distinct()
                .toList();
    }
}
