package io.heatherloft.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.daemon.fakes.Answers;
import io.heatherloft.daemon.fakes.FakeCaller;
import io.heatherloft.daemon.fakes.FakeConfiguration;
import io.heatherloft.daemon.fakes.FakeFleet;
import io.heatherloft.domain.membership.Fact;
import io.heatherloft.ports.loop.Futures;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class RolloutWatchTest {
    private static final String BAD_VERSION = "small@2";

    private final FakeFleet fleet = FakeFleet.ready(11, 4);

    private void ask(int count) {
        for (int index = 0; index < count; index++) {
            fleet.chat(fleet.host(index % 4), "small", "question " + index, "", "", true);
            fleet.schedule.advance(200);
        }
        fleet.schedule.advance(3_000);
    }

    private boolean isQuarantined(FakeFleet.Host host) {
        return host.core().fleet().facts().contains(Fact.Kind.VERSION_QUARANTINED, BAD_VERSION);
    }

    private void ratePoorly() {
        fleet.setRating(question -> {
            String prompt = question.prompt();
            return question.answer().equals(Answers.expectedText(BAD_VERSION, prompt)) ? 0.5 : 0.9;
        });
    }

    @Nested
    final class APoorVersion {
        @Test
        void is_quarantined_on_every_host_with_the_store_down() {
            ratePoorly();
            fleet.store.setDown(true);
            ask(900);
            fleet.liveHosts().forEach(host -> assertThat(isQuarantined(host)).isTrue());
            FakeCaller after = fleet.chat(fleet.host(0), "small", "another", "", "", true);
            fleet.schedule.advance(2_000);
            assertThat(after.header("Heatherloft-Version")).isEqualTo("small@1");
        }

        @Test
        void comes_back_only_when_its_model_is_declared_anew() {
            ratePoorly();
            ask(900);
            fleet.setRating(_question -> 0.9);
            Futures.onResult(fleet.apply(new FakeConfiguration().limits(63, 64, 16)), _outcome -> {});
            fleet.schedule.advance(8_000);
            int dispatchesBefore = fleet.backends.dispatches().size();
            ask(40);
            assertThat(versionsSince(dispatchesBefore)).doesNotContain(BAD_VERSION);
            Futures.onResult(fleet.apply(new FakeConfiguration().sharePercent(60)), _outcome -> {});
            fleet.schedule.advance(8_000);
            dispatchesBefore = fleet.backends.dispatches().size();
            ask(40);
            assertThat(versionsSince(dispatchesBefore)).contains(BAD_VERSION);
        }
    }

    @Nested
    final class AGoodVersion {
        @Test
        void is_left_alone() {
            ask(900);
            fleet.liveHosts().forEach(host -> assertThat(isQuarantined(host)).isFalse());
        }
    }

    private java.util.List<String> versionsSince(int dispatches) {
        return fleet.backends.dispatches().stream()
                .skip(dispatches)
                .map(io.heatherloft.daemon.fakes.FakeBackends.Dispatch::version)
                .distinct()
                .toList();
    }
}
