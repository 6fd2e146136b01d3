package io.heatherloft.entry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.heatherloft.standins.platform.PlatformFixtures;
import io.heatherloft.standins.platform.RunnerStandIn;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Backend servers that say in their responses that they leave, or that they want no requests for some time. */
final class ServerNoticeTest {
    private static final int HOSTS = 3;
    private static final int REQUESTS = 60;
    // Of the rule on rest: requests that a host may send to a server in the time for which it asked.
    private static final int TOLERATED_REQUESTS = 2;
    private static final Pattern RETRY_AFTER = Pattern.compile("retry-after: ([0-9.]+)");

    private final EntryHostHarness harness = new EntryHostHarness();
    private final List<EntryHost> hosts = new ArrayList<>();
    private int requests;

    @AfterEach
    void close() {
        harness.close();
    }

    private void startHosts(int count, int servers) {
        int seedPort = EntryHostHarness.freePort();
        IntStream.range(0, count)
                .forEach(index -> hosts.add(harness.startReadyHost(
                        "h-" + index,
                        index == 0 ? seedPort : EntryHostHarness.freePort(),
                        index == 0 ? List.of() : List.of(seedPort))));
        hosts.forEach(host -> harness.awaitBackendCount(host, servers));
    }

    private String send(EntryHost host) {
        requests++;
        return harness.sendPlainRequest(host, "GET", "/lookups/x", "r" + requests);
    }

    private String sendStream(EntryHost host) {
        requests++;
        return harness.sendStreamRequest(host, "r" + requests);
    }

    private int received(RunnerStandIn server) {
        return harness.onLoop(server.receivedRequests()::size);
    }

    private void sendUntilReached(EntryHost host, RunnerStandIn server) {
        int before = received(server);
        harness.await(() -> {
            String _response = send(host);
            return received(server) > before;
        });
    }

    private static OptionalDouble retryAfterSeconds(String response) {
        Matcher matcher = RETRY_AFTER.matcher(response);
        return matcher.find() ? OptionalDouble.of(Double.parseDouble(matcher.group(1))) : OptionalDouble.empty();
    }

    @Nested
    final class ALeavingServer {
        // Incident DRAIN: hosts went on sending requests to a server that had said it was leaving, as its entry in the
        // store
        // still said it was ready.
        @Test
        void gets_no_more_requests_from_any_host_although_its_entry_is_ready() {
            RunnerStandIn leaving = harness.startBackend("desk", "desk-1", "v1");
            RunnerStandIn other = harness.startBackend("desk", "desk-2", "v1");
            startHosts(HOSTS, 2);
            harness.onLoop(() -> leaving.setLeaving(true));
            sendUntilReached(hosts.get(0), leaving);
            int before = received(leaving);
            IntStream.range(0, REQUESTS)
                    .forEach(_index -> assertThat(send(hosts.get(0))).startsWith("HTTP/1.1 200"));
            assertWithMessage("requests of the host that was told")
                    .that(received(leaving) - before)
                    .isEqualTo(0);
            // A host that has not learned of the departure yet may send a single request to the other server by chance.
            harness.await(() -> {
                int beforeRounds = received(leaving);
                IntStream.range(0, REQUESTS).forEach(index -> assertThat(send(hosts.get(index % HOSTS)))
                        .startsWith("HTTP/1.1 200"));
                return received(leaving) == beforeRounds;
            });
            int beforeAll = received(leaving);
            IntStream.range(0, REQUESTS)
                    .forEach(index -> assertThat(send(hosts.get(index % HOSTS))).startsWith("HTTP/1.1 200"));
            assertThat(received(leaving)).isEqualTo(beforeAll);
            assertThat(received(other)).isAtLeast(REQUESTS);
        }

        @Test
        void is_used_again_once_it_has_restarted_under_its_id() {
            RunnerStandIn leaving = harness.startBackend("desk", "desk-1", "v1");
            RunnerStandIn _other = harness.startBackend("desk", "desk-2", "v1");
            startHosts(1, 2);
            harness.onLoop(() -> leaving.setLeaving(true));
            sendUntilReached(hosts.get(0), leaving);
            harness.onLoop(() -> {
                leaving.setLeaving(false);
                harness.store.put(
                        "servers/desk-1",
                        PlatformFixtures.backendEntry("desk", harness.backendPort("desk-1"), "v1", 1));
            });
            sendUntilReached(hosts.get(0), leaving);
        }

        @Test
        void that_is_the_last_one_of_its_service_is_used_for_a_moment_longer() {
            RunnerStandIn leaving = harness.startBackend("desk", "desk-1", "v1");
            startHosts(1, 1);
            harness.onLoop(() -> leaving.setLeaving(true));
            assertThat(send(hosts.get(0))).startsWith("HTTP/1.1 200");
            assertThat(send(hosts.get(0))).startsWith("HTTP/1.1 200");
            harness.await(() -> send(hosts.get(0)).startsWith("HTTP/1.1 503"));
            int before = received(leaving);
            assertThat(retryAfterSeconds(send(hosts.get(0)))).isNotEqualTo(OptionalDouble.empty());
            assertThat(received(leaving)).isEqualTo(before);
        }

        @Test
        void gets_no_run_of_a_larger_model_and_no_request_of_its_sessions() {
            RunnerStandIn first = harness.startBackend("llm", "llm-1", "v1");
            RunnerStandIn second = harness.startBackend("llm", "llm-2", "v1");
            startHosts(1, 2);
            assertThat(sendStream(hosts.get(0))).startsWith("HTTP/1.1 200");
            // Later requests of the session have the same prompt and prefer the same server.
            RunnerStandIn leaving = received(first) > 0 ? first : second;
            harness.onLoop(() -> {
                leaving.setLeaving(true);
                first.setConfidence(20);
                second.setConfidence(20);
            });
            int before = received(leaving);
            IntStream.range(0, 5)
                    .forEach(_index -> assertThat(sendStream(hosts.get(0))).startsWith("HTTP/1.1 200"));
            assertThat(received(leaving)).isEqualTo(before + 1);
        }
    }

    @Nested
    final class AServerAtRest {
        private static final String REST_SECONDS = "3";

        // Incident BUDGET: hosts went on sending requests to a server that had rejected one and asked for rest.
        @Test
        void gets_no_requests_from_the_host_that_it_asked_for_rest() {
            RunnerStandIn resting = harness.startBackend("desk", "desk-1", "v1");
            RunnerStandIn other = harness.startBackend("desk", "desk-2", "v1");
            startHosts(1, 2);
            harness.onLoop(() -> resting.setRest(Optional.of(REST_SECONDS)));
            sendUntilReached(hosts.get(0), resting);
            int before = received(resting);
            IntStream.range(0, REQUESTS)
                    .forEach(_index -> assertThat(send(hosts.get(0))).startsWith("HTTP/1.1 200"));
            assertThat(received(resting) - before).isAtMost(TOLERATED_REQUESTS);
            assertThat(received(other)).isAtLeast(REQUESTS);
            harness.onLoop(() -> resting.setRest(Optional.empty()));
            sendUntilReached(hosts.get(0), resting);
        }

        @Test
        void and_all_others_of_its_service_too_leave_callers_refused_until_the_first_rest_ends() {
            RunnerStandIn first = harness.startBackend("desk", "desk-1", "v1");
            RunnerStandIn second = harness.startBackend("desk", "desk-2", "v1");
            startHosts(1, 2);
            harness.onLoop(() -> {
                first.setRest(Optional.of("30"));
                second.setRest(Optional.of("60"));
            });
            harness.await(() -> {
                String _response = send(hosts.get(0));
                return received(first) > 0 && received(second) > 0;
            });
            int before = received(first) + received(second);
            List<Double> delays = IntStream.range(0, 20)
                    .mapToObj(_index -> send(hosts.get(0)))
                    .map(response -> retryAfterSeconds(response).orElse(-1))
                    .toList();
            assertThat(received(first) + received(second)).isEqualTo(before);
            delays.forEach(delay -> assertThat(delay).isWithin(8).of(25));
            assertWithMessage("callers that come back at different times")
                    .that(delays.stream().distinct().count())
                    .isAtLeast(10L);
        }
    }
}
