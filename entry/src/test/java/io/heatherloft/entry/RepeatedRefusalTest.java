package io.heatherloft.entry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.heatherloft.standins.platform.RefusalRepeatingStandIn;
import io.heatherloft.standins.platform.RefusalRepeatingStandIn.Repetition;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Backend servers that write an earlier refusal once more on a connection that is in use again. */
final class RepeatedRefusalTest {
    private static final int REQUESTS = 6;
    private static final String CUT_OFF = "CUT_OFF.*";

    private final EntryHostHarness harness = new EntryHostHarness();
    private final ServerLinks links = new ServerLinks();
    private final List<RefusalRepeatingStandIn> servers = new ArrayList<>();

    @AfterEach
    void close() {
        harness.close();
        links.close();
        servers.forEach(RefusalRepeatingStandIn::close);
    }

    private void startServers(int count, Repetition repetition) {
        for (int index = 1; index <= count; index++) {
            RefusalRepeatingStandIn server = new RefusalRepeatingStandIn(repetition);
            servers.add(server);
            harness.registerBackend("desk", "d-" + index, "v1", server.port());
        }
    }

    private List<String> executed() {
        return servers.stream().flatMap(server -> server.executed().stream()).toList();
    }

    private EntryHost startHostWithServers(int count, Repetition repetition) {
        startServers(count, repetition);
        EntryHost host = harness.startReadyHost("h-1", EntryHostHarness.freePort(), List.of());
        harness.awaitBackendCount(host, count);
        return host;
    }

    /** Starts a host that reaches the servers through another one only. */
    private EntryHost startHostWithoutServers() {
        int peerPort = EntryHostHarness.freePort();
        EntryHost host = harness.startHost("h-1", peerPort, List.of(), links);
        EntryHost other = harness.startReadyHost("h-2", EntryHostHarness.freePort(), List.of(peerPort));
        harness.await(() -> harness.isReady(host));
        Stream.of(host, other).forEach(started -> {
            harness.awaitBackendCount(started, 2);
            harness.await(() -> harness.get(started.metricsPort(), "/metrics").contains("hosts_known 2.0\n"));
        });
        links.set(ServerLinks.Mode.RESET);
        return host;
    }

    /** Sends requests one after another; those that are refused must not have run, and no request may run twice. */
    private void checkPromises(EntryHost host, String method, String path) {
        int answered = 0;
        for (int request = 1; request <= REQUESTS; request++) {
            String id = "r" + request;
            String response = harness.sendPlainRequest(host, method, path, id);
            if (response.startsWith("HTTP/1.1 503")) {
                assertWithMessage("refused %s", id).that(executed()).doesNotContain(id);
            } else {
                assertWithMessage("response to %s", id).that(response).startsWith("HTTP/1.1 200");
                answered++;
            }
        }
        assertThat(executed()).containsNoDuplicates();
        assertWithMessage("requests that ran after a refusal").that(answered).isGreaterThan(0);
    }

    /** Sends requests one after another; those that have run must not be reported as refused, nor run twice. */
    private void checkPromisesOfCutOffCopies(EntryHost host) {
        for (int request = 1; request <= REQUESTS; request++) {
            String id = "r" + request;
            String response = harness.sendPlainRequest(host, "POST", "/bookings/x", id);
            if (response.startsWith("HTTP/1.1 503")) {
                assertWithMessage("refused %s", id).that(executed()).doesNotContain(id);
            } else {
                assertWithMessage("executed, as %s got %s", id, response)
                        .that(executed())
                        .contains(id);
            }
        }
        assertThat(executed()).containsNoDuplicates();
    }

    /** Guards against review case 1: the next response was read as the rest of a refusal that was cut off. */
    @Nested
    final class ACutOffRefusal {
        @ParameterizedTest
        @EnumSource(mode = EnumSource.Mode.MATCH_ANY, names = CUT_OFF)
        void refuses_no_request_that_has_run(Repetition repetition) {
            checkPromisesOfCutOffCopies(startHostWithServers(1, repetition));
        }

        @ParameterizedTest
        @EnumSource(mode = EnumSource.Mode.MATCH_ANY, names = CUT_OFF)
        void lets_no_request_run_twice(Repetition repetition) {
            checkPromisesOfCutOffCopies(startHostWithServers(3, repetition));
        }

        @ParameterizedTest
        @EnumSource(mode = EnumSource.Mode.MATCH_ANY, names = CUT_OFF)
        void refuses_no_request_that_has_run_through_another_host(Repetition repetition) {
            startServers(2, repetition);
            checkPromisesOfCutOffCopies(startHostWithoutServers());
            assertThat(links.connections()).isEqualTo(0);
        }
    }

    @Nested
    final class ARequest {
        @ParameterizedTest
        @EnumSource(mode = EnumSource.Mode.MATCH_NONE, names = CUT_OFF)
        void that_runs_on_the_only_server_is_not_reported_as_refused(Repetition repetition) {
            checkPromises(startHostWithServers(1, repetition), "POST", "/bookings/x");
        }

        @ParameterizedTest
        @EnumSource(mode = EnumSource.Mode.MATCH_NONE, names = CUT_OFF)
        void that_runs_is_not_sent_to_a_second_server(Repetition repetition) {
            checkPromises(startHostWithServers(2, repetition), "POST", "/bookings/x");
        }

        @ParameterizedTest
        @EnumSource(mode = EnumSource.Mode.MATCH_NONE, names = CUT_OFF)
        void that_runs_through_another_host_is_not_reported_as_refused(Repetition repetition) {
            startServers(2, repetition);
            EntryHost host = startHostWithoutServers();
            checkPromises(host, "POST", "/bookings/x");
            assertThat(links.connections()).isEqualTo(0);
        }
    }
}
