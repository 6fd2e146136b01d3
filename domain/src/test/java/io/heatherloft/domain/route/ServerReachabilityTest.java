package io.heatherloft.domain.route;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class ServerReachabilityTest {
    private final ServerReachability reachability = new ServerReachability();

    @Nested
    final class AHost {
        @Test
        void is_not_cut_off_when_one_server_is_unreachable() {
            reachability.recordReachableByOthers("s1", 0);
            assertThat(reachability.isCutOff(1)).isFalse();
            assertThat(reachability.isUnreachable("s1", 1)).isTrue();
            assertThat(reachability.isUnreachable("s2", 1)).isFalse();
        }

        @Test
        void that_is_cut_off_reaches_no_server() {
            reachability.recordReachableByOthers("s1", 0);
            reachability.recordReachableByOthers("s2", 0);
            assertThat(reachability.isCutOff(1)).isTrue();
            assertThat(reachability.isUnreachable("s3", 1)).isTrue();
        }

        @Test
        void has_its_links_again_once_any_direct_connection_succeeds() {
            reachability.recordReachableByOthers("s1", 0);
            reachability.recordReachableByOthers("s2", 0);
            reachability.recordDirectConnection("s2", 1);
            assertThat(reachability.isCutOff(1)).isFalse();
            assertThat(reachability.unreachableServers(1)).isEmpty();
        }

        @Test
        void that_reaches_other_servers_remembers_the_one_that_it_does_not_reach() {
            reachability.recordReachableByOthers("s1", 0);
            reachability.recordDirectConnection("s2", 1);
            assertThat(reachability.isUnreachable("s1", 1)).isTrue();
        }

        @Test
        void tries_a_server_again_that_has_not_been_confirmed_for_long() {
            reachability.recordReachableByOthers("s1", 0);
            assertThat(reachability.isDueForConfirmation("s1", 4_999)).isFalse();
            assertThat(reachability.isDueForConfirmation("s1", 5_000)).isTrue();
            assertThat(reachability.isUnreachable("s1", 10_000)).isFalse();
        }
    }
}
