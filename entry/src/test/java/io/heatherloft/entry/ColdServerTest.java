package io.heatherloft.entry;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.domain.route.ColdServerBound;
import io.heatherloft.standins.platform.PlatformFixtures;
import io.heatherloft.standins.platform.RunnerStandIn;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Backend servers that are cold when the hosts learn of them, and crash above a rate. */
final class ColdServerTest {
    private static final int HOSTS = 3;
    private static final long COLD_MILLIS = 60_000L;
    private static final double RATE = 2;
    private static final ColdServerBound BOUND = new ColdServerBound(1.5, 5);

    private final EntryHostHarness harness = new EntryHostHarness();
    private final List<EntryHost> hosts = new ArrayList<>();

    @AfterEach
    void close() {
        harness.close();
    }

    private RunnerStandIn startColdServer(String id) {
        RunnerStandIn server = harness.startBackend("desk", id, "v1");
        String entry = PlatformFixtures.backendEntry("desk", harness.backendPort(id), "v1")
                .replace("\"cold_left_ms\":0", "\"cold_left_ms\":" + COLD_MILLIS);
        harness.onLoop(() -> {
            server.startCold(COLD_MILLIS, BOUND.requestsInSecond(RATE));
            harness.store.put("servers/" + id, entry);
        });
        return server;
    }

    private void startHosts(Optional<ColdServerBound> bound) {
        harness.coldBound = bound;
        harness.onLoop(() -> harness.store.put(
                "op/config",
                PlatformFixtures.configuration(2, EntryHostHarness.API_KEY)
                        .replace(
                                "{\"name\":\"desk\",",
                                "{\"name\":\"desk\",\"cold_start_s\":3,\"cold_per_s\":" + RATE + ",")));
        int seedPort = EntryHostHarness.freePort();
        IntStream.range(0, HOSTS)
                .forEach(index -> hosts.add(harness.startReadyHost(
                        "h-" + index,
                        index == 0 ? seedPort : EntryHostHarness.freePort(),
                        index == 0 ? List.of() : List.of(seedPort))));
    }

    private List<String> sendAll(int count) {
        return IntStream.range(0, count)
                .mapToObj(index -> harness.sendPlainRequest(hosts.get(index % HOSTS), "GET", "/lookups/x", "r" + index))
                .toList();
    }

    private boolean isCrashed(RunnerStandIn server) {
        return harness.onLoop(server::isCrashed);
    }

    @Nested
    final class AColdServer {
        // All hosts together sent a server that had just started half of the load, and it crashed.
        @Test
        void does_not_crash_while_another_serves_the_load() {
            RunnerStandIn _warm = harness.startBackend("desk", "desk-1", "v1");
            RunnerStandIn cold = startColdServer("desk-2");
            startHosts(Optional.of(BOUND));
            sendAll(90).forEach(response -> assertThat(response).startsWith("HTTP/1.1 200"));
            assertThat(isCrashed(cold)).isFalse();
        }

        @Test
        void is_used_like_the_others_without_a_bound_in_the_settings() {
            RunnerStandIn _warm = harness.startBackend("desk", "desk-1", "v1");
            RunnerStandIn cold = startColdServer("desk-2");
            startHosts(Optional.empty());
            List<String> _responses = sendAll(90);
            assertThat(isCrashed(cold)).isTrue();
        }

        @Test
        void has_requests_refused_if_there_is_no_other() {
            RunnerStandIn cold = startColdServer("desk-2");
            startHosts(Optional.of(BOUND));
            List<String> refused = sendAll(30).stream()
                    .filter(response -> response.startsWith("HTTP/1.1 503"))
                    .toList();
            assertThat(refused).isNotEmpty();
            refused.forEach(response -> assertThat(response).containsMatch("retry-after: [01]\\.[0-9]+"));
            assertThat(harness.get(hosts.get(0).metricsPort(), "/metrics"))
                    .containsMatch("requests_total_SERVERS_COLD_total [1-9]");
            assertThat(isCrashed(cold)).isFalse();
        }
    }
}
