package io.heatherloft.router.fleet;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.domain.StoreRevision;
import io.heatherloft.domain.rollout.RolloutOrder;
import io.heatherloft.domain.rollout.RolloutProgress;
import io.heatherloft.domain.rollout.RolloutState;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class VersionPolicyTest {
    private static final Set<String> BOTH = Set.of("v1", "v2");
    private static final RolloutOrder ORDER = new RolloutOrder("llm", "v2", 10_000);

    private final SessionVersions sessions = new SessionVersions(5_000);
    private final VersionPolicy policy = new VersionPolicy("llm", sessions);

    private static StoreRevision revision(long number) {
        return StoreRevision.ofFirstEra(number);
    }

    private List<String> preferredVersions(String session, long nowMillis) {
        return policy.preference(Optional.of(session), "r", BOTH, nowMillis).versions();
    }

    @Nested
    final class AfterARestart {
        // Incident inc-86f0: a state that was listed before its order was ignored, so a reverted rollout ran again.
        @Test
        void a_state_received_before_its_order_is_applied() {
            policy.onState(new RolloutState("llm", "v2", RolloutState.Phase.REVERTED), revision(25));
            policy.onOrder(ORDER, revision(14), 0);
            assertThat(policy.statePhase()).isEqualTo(Optional.of(RolloutState.Phase.REVERTED));
            assertThat(preferredVersions("s", 9_900)).containsExactly("v1");
        }

        @Test
        void a_state_of_an_earlier_order_is_ignored() {
            policy.onState(new RolloutState("llm", "v2", RolloutState.Phase.REVERTED), revision(25));
            policy.onOrder(ORDER, revision(30), 0);
            assertThat(policy.statePhase()).isEqualTo(Optional.empty());
            policy.onProgress(new RolloutProgress(revision(30), 9_800), revision(31), 9_800);
            assertThat(preferredVersions("s", 9_900))
                    .containsExactly("v2", "v1")
                    .inOrder();
        }

        @Test
        void a_rollout_continues_from_its_recorded_progress() {
            policy.onProgress(new RolloutProgress(revision(14), 8_000), revision(31), 0);
            policy.onOrder(ORDER, revision(14), 0);
            assertThat(preferredVersions("s", 100)).containsExactly("v2", "v1").inOrder();
        }
    }

    @Nested
    final class UnrecordedProgress {
        @Test
        void does_not_move_sessions() {
            policy.onOrder(ORDER, revision(14), 0);
            sessions.record("llm", "s", "v1", 9_000);
            assertThat(preferredVersions("s", 9_900)).containsExactly("v1");
        }
    }

    @Nested
    final class ASession {
        @Test
        void stays_on_the_old_version_in_the_first_half_and_on_the_new_one_once_it_ran_there() {
            policy.onOrder(ORDER, revision(14), 0);
            for (int session = 0; session < 200; session++) {
                sessions.record("llm", "old" + session, "v1", 3_000);
                sessions.record("llm", "new" + session, "v2", 3_000);
                assertThat(preferredVersions("old" + session, 4_000)).containsExactly("v1");
                assertThat(preferredVersions("new" + session, 4_000).get(0)).isEqualTo("v2");
            }
        }

        @Test
        void leaves_a_version_that_was_reverted() {
            policy.onOrder(ORDER, revision(14), 0);
            sessions.record("llm", "s", "v2", 3_000);
            policy.decide(RolloutState.Phase.REVERTED);
            assertThat(preferredVersions("s", 4_000)).containsExactly("v1");
        }
    }

    @Nested
    final class AVersionWithoutAnOrder {
        @Test
        void gets_no_requests_until_its_order_would_have_arrived() {
            policy.onVersionSeen("v1", 0);
            policy.onVersionSeen("v2", 10_000);
            assertThat(preferredVersions("s", 10_500)).containsExactly("v1");
            assertThat(preferredVersions("s", 12_500)).containsExactly("v1", "v2");
        }
    }
}
