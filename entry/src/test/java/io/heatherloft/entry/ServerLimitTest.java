package io.heatherloft.entry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.heatherloft.standins.platform.RunnerStandIn;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A backend server that names the rate of requests that it accepts from all hosts together. */
final class ServerLimitTest {
    private static final int HOSTS = 3;
    private static final int REQUESTS = 90;
    private static final double LIMIT_PER_SECOND = 1.1;
    // Of the rule on limits: one and a half times the limit, and five requests.
    private static final double TOLERANCE_FACTOR = 1.5;
    private static final double TOLERATED_REQUESTS = 5;
    private static final double NANOS_PER_SECOND = 1e9;

    private final EntryHostHarness harness = new EntryHostHarness();
    private final List<EntryHost> hosts = new ArrayList<>();
    private int requests;

    @AfterEach
    void close() {
        harness.close();
    }

    private void startHosts(int servers) {
        int seedPort = EntryHostHarness.freePort();
        IntStream.range(0, HOSTS)
                .forEach(index -> hosts.add(harness.startReadyHost(
                        "h-" + index,
                        index == 0 ? seedPort : EntryHostHarness.freePort(),
                        index == 0 ? List.of() : List.of(seedPort))));
        hosts.forEach(host -> harness.awaitBackendCount(host, servers));
    }

    private String sendToNextHost() {
        requests++;
        return harness.sendPlainRequest(hosts.get(requests % HOSTS), "GET", "/lookups/x", "r" + requests);
    }

    private int received(RunnerStandIn server) {
        return harness.onLoop(server.receivedRequests()::size);
    }

    @Nested
    final class AFleet {
        // Incident LIMIT: hosts went on sending requests to a server that had named a limit in its responses.
        @Test
        void keeps_to_the_limit_of_a_server_and_serves_the_rest_on_another() {
            RunnerStandIn limited = harness.startBackend("desk", "desk-1", "v1");
            RunnerStandIn other = harness.startBackend("desk", "desk-2", "v1");
            harness.onLoop(() -> limited.setRequestLimit(OptionalDouble.of(LIMIT_PER_SECOND)));
            startHosts(2);
            harness.await(() -> {
                assertThat(sendToNextHost()).startsWith("HTTP/1.1 200");
                return received(limited) >= HOSTS;
            });
            int before = received(limited);
            int otherBefore = received(other);
            long startNanos = System.nanoTime();
            IntStream.range(0, REQUESTS)
                    .forEach(_index -> assertThat(sendToNextHost()).startsWith("HTTP/1.1 200"));
            double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
            double allowed = TOLERANCE_FACTOR * LIMIT_PER_SECOND * seconds + TOLERATED_REQUESTS;
            assertWithMessage("requests in %s s", seconds)
                    .that((double) (received(limited) - before))
                    .isAtMost(allowed);
            assertThat(received(other) - otherBefore).isAtLeast(REQUESTS / 2);
        }
    }
}
