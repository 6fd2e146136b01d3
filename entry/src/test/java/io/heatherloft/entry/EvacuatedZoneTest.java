package io.heatherloft.entry;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.ports.http.SocketAddresses;
import io.heatherloft.standins.platform.PlatformFixtures;
import io.heatherloft.standins.platform.RunnerStandIn;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Hosts whose operator evacuates the availability zone of some backend servers. */
final class EvacuatedZoneTest {
    private static final String ZONE_KEY = "op/evacuate/a";
    private static final int REQUESTS = 40;
    // Of the route of streams in PlatformFixtures.
    private static final long OBJECTIVE_NANOS = 1_000_000_000L;

    private final EntryHostHarness harness = new EntryHostHarness();
    private final ServerLinks links = new ServerLinks();
    private final List<EntryHost> hosts = new ArrayList<>();
    private RunnerStandIn staying;
    private RunnerStandIn evacuated;
    private int requests;

    @AfterEach
    void close() {
        harness.close();
        links.close();
    }

    /** Starts hosts, a server of a service that stays in use, and one in the zone that is to be evacuated, which is the hosts' own. */
    private void start(String service, int hostCount) {
        staying = startInOtherZone(service, service + "-1");
        evacuated = harness.startBackend(service, service + "-2", "v1");
        int seedPort = EntryHostHarness.freePort();
        IntStream.range(0, hostCount)
                .forEach(index -> hosts.add(harness.startReadyHost(
                        "h-" + index,
                        index == 0 ? seedPort : EntryHostHarness.freePort(),
                        index == 0 ? List.of() : List.of(seedPort))));
        hosts.forEach(host -> harness.awaitBackendCount(host, 2));
    }

    private RunnerStandIn startInOtherZone(String service, String id) {
        RunnerStandIn server = harness.startBackend(service, id, "v1");
        harness.onLoop(() -> harness.store.put(
                "servers/" + id, PlatformFixtures.backendEntryInZone(service, harness.backendPort(id), "v1", "b")));
        return server;
    }

    private void order() {
        harness.onLoop(() -> harness.store.put(ZONE_KEY, "{}"));
        awaitEvacuatedZones(1);
    }

    private void revoke() {
        harness.onLoop(() -> harness.store.delete(ZONE_KEY));
        awaitEvacuatedZones(0);
    }

    private void awaitEvacuatedZones(int count) {
        hosts.forEach(host -> harness.await(() -> metrics(host).contains("zones_evacuated " + count + ".0\n")));
    }

    private String metrics(EntryHost host) {
        return harness.get(host.metricsPort(), "/metrics");
    }

    private int received(RunnerStandIn server) {
        return harness.onLoop(server.receivedRequests()::size);
    }

    private String lookUp(EntryHost host) {
        requests++;
        return harness.sendPlainRequest(host, "GET", "/lookups/x", "r" + requests);
    }

    private String stream(EntryHost host) {
        requests++;
        return harness.sendStreamRequest(host, "r" + requests);
    }

    private CompletableFuture<String> startStream(EntryHost host) {
        requests++;
        String id = "r" + requests;
        return CompletableFuture.supplyAsync(
                () -> harness.sendStreamRequest(host, id), task -> new Thread(task).start());
    }

    private void awaitRetryForSilence() {
        long endNanos = System.nanoTime() + OBJECTIVE_NANOS;
        harness.await(() -> System.nanoTime() > endNanos);
    }

    private void awaitReached(RunnerStandIn server) {
        int before = received(server);
        harness.await(() -> {
            hosts.forEach(this::lookUp);
            return received(server) > before;
        });
    }

    private static void assertAnswered(String response) {
        assertThat(response).startsWith("HTTP/1.1 200");
    }

    private static void assertRefused(String response) {
        assertThat(response).startsWith("HTTP/1.1 503");
        assertThat(response).contains("retry-after: 1.00");
    }

    @Nested
    final class ItsServer {
        // Nothing read the order, so the zone went on receiving requests.
        @Test
        void gets_no_request_from_any_host_until_the_order_is_revoked() {
            start("desk", 2);
            awaitReached(evacuated);
            order();
            int before = received(evacuated);
            IntStream.range(0, REQUESTS).forEach(index -> assertAnswered(lookUp(hosts.get(index % 2))));
            assertThat(received(evacuated)).isEqualTo(before);
            revoke();
            awaitReached(evacuated);
        }

        @Test
        void gets_no_retry_of_a_request_that_failed_on_another_server() {
            start("desk", 1);
            order();
            List.of(RunnerStandIn.Act.FAIL, RunnerStandIn.Act.REFUSE, RunnerStandIn.Act.LOSE_ANSWER)
                    .forEach(act -> {
                        harness.onLoop(() -> staying.enqueueActs(act));
                        assertAnswered(lookUp(hosts.get(0)));
                    });
            assertThat(received(staying)).isEqualTo(6);
            assertThat(received(evacuated)).isEqualTo(0);
        }

        @Test
        void gets_no_request_for_a_larger_model() {
            start("llm", 1);
            order();
            harness.onLoop(() -> staying.setConfidence(10));
            IntStream.range(0, 4)
                    .forEach(_index -> assertThat(stream(hosts.get(0))).contains("id: 8\n"));
            assertThat(received(staying)).isGreaterThan(4);
            assertThat(received(evacuated)).isEqualTo(0);
        }

        // The requests were cancelled after 0.6 of their objective, in favour of retries that no server could get.
        @Test
        void completes_a_request_in_progress_and_keeps_no_connection() {
            evacuated = harness.startBackend("llm", "llm-1", "v1");
            // Longer than the test waits for the connections to be closed.
            harness.onLoop(() -> evacuated.setKeepAliveSeconds(60));
            EntryHost host = harness.startHost("h-0", EntryHostHarness.freePort(), List.of(), links);
            hosts.add(host);
            harness.awaitBackendCount(host, 1);
            harness.onLoop(() -> evacuated.setHolding(true));
            CompletableFuture<String> first = startStream(host);
            CompletableFuture<String> second = startStream(host);
            harness.await(() -> received(evacuated) == 2);
            harness.onLoop(() -> evacuated.setHolding(false));
            assertThat(first.join()).contains("id: 8\n");
            assertThat(second.join()).contains("id: 8\n");
            harness.onLoop(() -> evacuated.setHolding(true));
            CompletableFuture<String> inProgress = startStream(host);
            harness.await(() -> received(evacuated) == 3);
            assertThat(links.openConnections()).isEqualTo(2);
            order();
            harness.await(() -> links.openConnections() == 1);
            awaitRetryForSilence();
            harness.onLoop(() -> evacuated.setHolding(false));
            assertThat(inProgress.join()).contains("id: 8\n");
            harness.await(() -> links.openConnections() == 0);
            assertThat(metrics(host)).contains("zones_evacuated 1.0\n");
        }
    }

    @Nested
    final class AService {
        // The response was given up for a larger model, or for a retry, that no server could get.
        @Test
        void whose_servers_are_all_in_the_zone_keeps_the_responses_that_have_begun() {
            evacuated = harness.startBackend("llm", "llm-1", "v1");
            EntryHost host = harness.startReadyHost("h-0", EntryHostHarness.freePort(), List.of());
            hosts.add(host);
            harness.awaitBackendCount(host, 1);
            harness.onLoop(() -> {
                evacuated.setConfidence(10);
                evacuated.setHolding(true);
                evacuated.enqueueActs(RunnerStandIn.Act.ANSWER, RunnerStandIn.Act.FAIL);
            });
            CompletableFuture<String> streamed = startStream(host);
            harness.await(() -> received(evacuated) == 1);
            CompletableFuture<String> failed = startStream(host);
            harness.await(() -> received(evacuated) == 2);
            order();
            harness.onLoop(() -> evacuated.setHolding(false));
            assertThat(streamed.join()).contains("id: 8\n");
            assertThat(failed.join()).startsWith("HTTP/1.1 500");
            assertThat(received(evacuated)).isEqualTo(2);
        }

        @Test
        void whose_servers_are_all_in_the_zone_refuses_requests_at_once() {
            start("desk", 1);
            harness.onLoop(() -> harness.store.delete("servers/desk-1"));
            harness.awaitBackendCount(hosts.get(0), 1);
            order();
            assertRefused(lookUp(hosts.get(0)));
            assertThat(metrics(hosts.get(0))).contains("requests_total_ZONE_EVACUATED");
            revoke();
            assertAnswered(lookUp(hosts.get(0)));
        }
    }

    @Nested
    final class AHost {
        @Test
        void that_starts_during_the_evacuation_sends_nothing_to_the_zone() {
            start("desk", 1);
            order();
            harness.onLoop(() -> harness.store.delete("servers/desk-1"));
            EntryHost started = harness.startHost("h-1", EntryHostHarness.freePort(), List.of());
            for (int index = 0; index < REQUESTS; index++) {
                assertThat(lookUp(started)).startsWith("HTTP/1.1 503");
            }
            harness.await(() -> harness.isReady(started));
            assertRefused(lookUp(started));
            assertThat(received(evacuated)).isEqualTo(0);
        }

        // A host that cannot reach the servers and has not learned of the order asks a host that has.
        @Test
        void that_has_learned_of_the_order_does_not_connect_others_to_the_zone() throws IOException {
            start("desk", 1);
            assertThat(relayReply("desk-2")).isEqualTo("connected");
            order();
            assertThat(relayReply("desk-2")).isEqualTo("unavailable");
            assertThat(relayReply("desk-1")).isEqualTo("connected");
            revoke();
            assertThat(relayReply("desk-2")).isEqualTo("connected");
        }

        private String relayReply(String serverId) throws IOException {
            InetSocketAddress relay = SocketAddresses.parse(hosts.get(0).relayAddress());
            try (Socket socket = new Socket(relay.getAddress(), relay.getPort())) {
                String line = serverId + " 127.0.0.1:" + harness.backendPort(serverId) + '\n';
                socket.getOutputStream().write(line.getBytes(StandardCharsets.US_ASCII));
                return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
                        .readLine();
            }
        }
    }
}
