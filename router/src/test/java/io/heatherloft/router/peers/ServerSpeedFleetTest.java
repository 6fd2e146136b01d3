package io.heatherloft.router.peers;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Fleets of 67 and 70 hosts in virtual time, under the load of docs/design/hard-load.md. */
final class ServerSpeedFleetTest {
    private static final LoadedFleet.Choice CHOICE = ServerChoices.of(ServerChoices::gossip, ServerChoices::withSpeeds);
    // From the rule on learned speeds: time in which a server that has recovered is used again.
    private static final long RECOVERY_MILLIS = 15_000L;

    private static long sends(LoadedFleet fleet, List<LoadedFleet.Server> servers) {
        return servers.stream()
                .mapToLong(server -> fleet.measured.sendsByServer.getOrDefault(server.index, 0))
                .sum();
    }

    @Nested
    final class AFleetOf67Hosts {
        // Every host sees a server only once in 16 s, so that it learns of a slow one mostly from others.
        @Test
        void avoids_servers_while_they_are_slow_and_uses_them_again_once_they_have_recovered() {
            LoadedFleet fleet = new LoadedFleet(LoadedFleet.UNEVEN, CHOICE, 5);
            List<LoadedFleet.Server> troubled = fleet.servers.subList(3, 9);
            fleet.measureFor(10_000);
            fleet.measureFor(10_000);
            long before = sends(fleet, troubled);
            troubled.forEach(server -> server.speed /= 8);
            fleet.measureFor(5_000);
            fleet.measureFor(10_000);
            assertWithMessage("sends to slow servers")
                    .that(sends(fleet, troubled))
                    .isLessThan(before / 2);
            troubled.forEach(server -> server.speed *= 8);
            fleet.measureFor(RECOVERY_MILLIS);
            fleet.measureFor(10_000);
            assertWithMessage("sends to servers that have recovered")
                    .that(sends(fleet, troubled))
                    .isGreaterThan(before / 2);
        }

        // Servers of speeds 0.6, 1 and 1.6 were selected as if they were equal.
        @Test
        void answers_sooner_than_without_learned_speeds() {
            List<Double> meanMillis =
                    List.of(CHOICE, ServerChoices.of(ServerChoices::gossip, ServerChoices::present)).stream()
                            .map(choice -> {
                                LoadedFleet fleet = new LoadedFleet(LoadedFleet.UNEVEN, choice, 6);
                                fleet.measureFor(15_000);
                                fleet.measureFor(15_000);
                                return fleet.measured.meanResponseMillis();
                            })
                            .toList();
            assertThat(meanMillis.get(0)).isLessThan(meanMillis.get(1));
        }
    }

    @Nested
    final class AFleetOf70Hosts {
        // Burst by 1.7 after the loss of a quarter of the servers; without reports, each host has only its own counts.
        @Test
        void without_reports_has_no_request_rejected_in_a_burst() {
            LoadedFleet fleet = new LoadedFleet(LoadedFleet.SEVENTY, CHOICE, 7);
            fleet.measureFor(10_000);
            IntStream.range(0, fleet.hosts.size()).forEach(fleet::cutOff);
            fleet.removeQuarter();
            fleet.setBurst(1.7);
            fleet.measureFor(15_000);
            assertThat(fleet.measured.sends).isGreaterThan(5_000);
            assertThat(fleet.measured.refused).isEqualTo(0);
            assertThat(fleet.measured.rejected).isEqualTo(0);
        }
    }
}
