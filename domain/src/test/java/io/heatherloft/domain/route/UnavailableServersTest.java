package io.heatherloft.domain.route;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.domain.route.UnavailableServers.Departure;
import io.heatherloft.domain.route.UnavailableServers.Rest;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Incident DRAIN: what a server says of itself holds for its incarnation. */
final class UnavailableServersTest {
    private static final long SERVER = 7;
    private static final long OTHER = 8;
    private final UnavailableServers servers = new UnavailableServers();

    @Nested
    final class ADeparture {
        @Test
        void is_known_at_once_and_told_to_other_hosts_with_its_time() {
            assertThat(servers.recordDeparture(new Departure(SERVER, 100), 100)).isTrue();
            assertThat(servers.recordDeparture(new Departure(SERVER, 200), 200)).isFalse();
            assertThat(servers.isLeaving(SERVER, 200)).isTrue();
            assertThat(servers.isLeaving(OTHER, 200)).isFalse();
            UnavailableServers told = new UnavailableServers();
            servers.departures(10, 300).forEach(departure -> told.recordDeparture(departure, 300));
            assertThat(told.isLeaving(SERVER, 300)).isTrue();
            assertThat(told.departures(10, 300)).containsExactly(new Departure(SERVER, 100));
        }

        @Test
        void leaves_the_server_as_a_last_resort_for_a_second() {
            assertThat(servers.recordDeparture(new Departure(SERVER, 0), 0)).isTrue();
            assertThat(servers.isLastResort(SERVER, 900)).isTrue();
            assertThat(servers.isLastResort(SERVER, 1_100)).isFalse();
        }
    }

    @Nested
    final class ARest {
        @Test
        void holds_until_it_ends() {
            assertThat(servers.recordRest(SERVER, 3_000, 0)).isTrue();
            assertThat(servers.remainingRestMillis(SERVER, 2_999)).isEqualTo(1);
            assertThat(servers.remainingRestMillis(SERVER, 3_000)).isEqualTo(0);
            assertThat(servers.remainingRestMillis(OTHER, 0)).isEqualTo(0);
        }

        @Test
        void that_overlaps_another_lasts_until_the_later_of_both_ends() {
            assertThat(servers.recordRest(SERVER, 5_000, 0)).isTrue();
            assertThat(servers.recordRest(SERVER, 1_000, 1_000)).isFalse();
            assertThat(servers.remainingRestMillis(SERVER, 1_000)).isEqualTo(4_000);
            assertThat(servers.recordRest(SERVER, 9_000, 2_000)).isFalse();
            assertThat(servers.remainingRestMillis(SERVER, 2_000)).isEqualTo(9_000);
        }

        @Test
        void of_a_day_is_granted_for_an_hour() {
            assertThat(servers.recordRest(SERVER, 86_400_000, 0)).isTrue();
            assertThat(servers.remainingRestMillis(SERVER, 0)).isEqualTo(UnavailableServers.MAX_REST_MILLIS);
        }

        @Test
        void of_a_host_that_is_not_known_is_told_to_all_hosts() {
            UnavailableServers told = new UnavailableServers();
            assertThat(servers.recordRest(OTHER, 3_000, 0)).isTrue();
            servers.recordSharedRest(new Rest(SERVER, 3_000), 0);
            servers.sharedRests(10, 1_000).forEach(rest -> told.recordSharedRest(rest, 1_000));
            assertThat(told.remainingRestMillis(SERVER, 1_000)).isEqualTo(2_000);
            assertThat(told.remainingRestMillis(OTHER, 1_000)).isEqualTo(0);
            assertThat(servers.sharedRests(10, 3_000)).isEmpty();
        }

        @Test
        void is_not_prolonged_by_hosts_that_tell_each_other() {
            UnavailableServers other = new UnavailableServers();
            servers.recordSharedRest(new Rest(SERVER, 3_000), 0);
            for (long now = 0; now < 3_000; now += 200) {
                long received = now + 100;
                servers.sharedRests(10, now).forEach(rest -> other.recordSharedRest(rest, received));
                other.sharedRests(10, received).forEach(rest -> servers.recordSharedRest(rest, received + 100));
            }
            assertThat(servers.remainingRestMillis(SERVER, 3_000)).isEqualTo(0);
        }
    }
}
