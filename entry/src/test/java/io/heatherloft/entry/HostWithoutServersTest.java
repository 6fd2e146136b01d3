package io.heatherloft.entry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.heatherloft.entry.ServerLinks.Mode;
import io.heatherloft.standins.platform.PlatformFixtures;
import io.heatherloft.standins.platform.RunnerStandIn;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** A host that has lost its links to all backend servers, which other hosts still reach. */
final class HostWithoutServersTest {
    private static final int REQUESTS = 20;

    private final EntryHostHarness harness = new EntryHostHarness();
    private final ServerLinks links = new ServerLinks();
    private EntryHost host;
    private RunnerStandIn desk;
    private RunnerStandIn otherDesk;
    private RunnerStandIn engine;
    private int requests;

    @AfterEach
    void close() {
        harness.close();
        links.close();
    }

    /** Starts one host behind the links and two others, and sends a request through each link. */
    private void start() {
        desk = harness.startBackend("desk", "d-1", "v1");
        otherDesk = harness.startBackend("desk", "d-2", "v1");
        engine = harness.startBackend("llm", "e-1", "v1");
        int peerPort = EntryHostHarness.freePort();
        host = harness.startHost("entry-1", peerPort, List.of(), links);
        EntryHost second = harness.startReadyHost("entry-2", EntryHostHarness.freePort(), List.of(peerPort));
        EntryHost third = harness.startReadyHost("entry-3", EntryHostHarness.freePort(), List.of(peerPort));
        harness.await(() -> harness.isReady(host));
        Stream.of(host, second, third).forEach(started -> {
            harness.awaitBackendCount(started, 3);
            harness.await(() -> harness.get(started.metricsPort(), "/metrics").contains("hosts_known 3.0\n"));
        });
        IntStream.range(0, 4).forEach(_index -> assertThat(lookUp()).startsWith("HTTP/1.1 200"));
        assertThat(stream()).contains("id: 8\n");
    }

    private String send(String method, String path) {
        requests++;
        return harness.sendPlainRequest(host, method, path, "r" + requests);
    }

    private String lookUp() {
        return send("GET", "/lookups/x");
    }

    private String stream() {
        requests++;
        return harness.sendStreamRequest(host, "s" + requests);
    }

    /** Sends requests one after another, and returns the responses that are not successful. */
    private List<String> failures(String method, String path) {
        return IntStream.range(0, REQUESTS)
                .mapToObj(_index -> send(method, path))
                .filter(response -> !response.startsWith("HTTP/1.1 200"))
                .toList();
    }

    /** Cuts the links and waits until the host knows: requests that were sent before have an unknown outcome. */
    private void cut(Mode mode) {
        links.set(mode);
        harness.await(() -> lookUp().startsWith("HTTP/1.1 200")
                && harness.get(host.metricsPort(), "/metrics").contains("backend_links_lost 1.0\n"));
    }

    private void serves(Mode mode) {
        start();
        cut(mode);
        assertThat(failures("GET", "/lookups/x")).isEmpty();
        assertThat(failures("POST", "/bookings/x")).isEmpty();
        assertThat(stream()).contains("id: 8\n");
        assertThat(stream()).endsWith("0\r\n\r\n");
    }

    private List<String> requestIds(RunnerStandIn server) {
        return harness.onLoop(() -> server.receivedRequests().stream()
                .map(request -> request.headers().get(PlatformFixtures.REQUEST_ID_HEADER))
                .toList());
    }

    @Nested
    final class ItsCallers {
        // Incident RECOVER: a host that was cut off from all backend servers refused every request.
        @Test
        @Tag("known-red")
        void are_served_through_another_host_when_connections_are_reset() {
            serves(Mode.RESET);
        }

        @Test
        void are_served_through_another_host_when_only_new_connections_are_refused() {
            start();
            links.set(Mode.NEW_REFUSED);
            long answered = IntStream.range(0, REQUESTS)
                    .parallel()
                    .mapToObj(index -> harness.sendPlainRequest(host, "GET", "/lookups/x", "p" + index))
                    .filter(response -> response.startsWith("HTTP/1.1 200"))
                    .count();
            assertThat(answered).isEqualTo(REQUESTS);
        }

        @Test
        void are_served_through_another_host_when_connections_hang() {
            serves(Mode.HANGING);
        }
    }

    @Nested
    final class ItsRequests {
        @Test
        void run_at_most_once() {
            start();
            cut(Mode.RESET);
            assertThat(failures("POST", "/bookings/x")).isEmpty();
            List<String> ids = Stream.of(desk, otherDesk)
                    .flatMap(server -> requestIds(server).stream())
                    .toList();
            assertThat(ids).containsNoDuplicates();
        }

        // Incident RECOVER: a host that was cut off took refused connections for crashes on the prompts of its
        // requests.
        @Test
        void accuse_neither_servers_nor_prompts() {
            start();
            IntStream.range(0, 3).forEach(_index -> {
                links.set(Mode.UP);
                stream();
                links.set(Mode.RESET);
                stream();
                lookUp();
            });
            assertThat(harness.onLoop(() -> harness.store.keys("heatherloft/crashes/")))
                    .isEmpty();
        }
    }

    @Nested
    final class AfterTheCut {
        @Test
        void requests_go_directly_to_the_servers_again() {
            start();
            cut(Mode.RESET);
            links.set(Mode.UP);
            int before = links.connections();
            harness.await(() -> lookUp().startsWith("HTTP/1.1 200") && links.connections() > before);
            assertWithMessage("engine").that(requestIds(engine)).isNotEmpty();
        }
    }
}
