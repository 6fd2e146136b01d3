package io.heatherloft.entry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.heatherloft.standins.platform.RunnerStandIn;
import io.heatherloft.standins.platform.RunnerStandIn.Act;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A single request that crashes each backend server which runs it, and that its caller sends again and again. */
final class CrashingRequestTest {
    private static final int HOSTS = 3;
    private static final int SERVERS = 6;
    private static final int MAX_SENDS = 20;
    private static final String CRASHING_TARGET = "/bookings/crash";
    private static final String CRASHING_BODY = "hello";
    // Only a request that is blocked for crashing servers is refused for a minute or longer.
    private static final Pattern BLOCKED =
            Pattern.compile("HTTP/1.1 503.*retry-after: [0-9]{2,3}(\\.0+)?\r\n.*", Pattern.DOTALL);

    private final EntryHostHarness harness = new EntryHostHarness();
    private final List<EntryHost> hosts = new ArrayList<>();
    private final List<RunnerStandIn> servers = new ArrayList<>();
    private int sends;

    @AfterEach
    void close() {
        harness.close();
    }

    private void startFleet(String service) {
        int seedPort = EntryHostHarness.freePort();
        IntStream.range(0, SERVERS)
                .forEach(index -> servers.add(harness.startBackendCrashingOn(
                        request -> request.target().equals(CRASHING_TARGET)
                                || new String(request.body().toArray(), StandardCharsets.UTF_8).equals(CRASHING_BODY),
                        service,
                        service + '-' + index)));
        IntStream.range(0, HOSTS)
                .forEach(index -> hosts.add(harness.startReadyHost(
                        "h-" + index,
                        index == 0 ? seedPort : EntryHostHarness.freePort(),
                        index == 0 ? List.of() : List.of(seedPort))));
        awaitServers();
    }

    private void awaitServers() {
        harness.await(() -> harness.onLoop(() -> servers.stream().noneMatch(RunnerStandIn::isCrashed)));
        hosts.forEach(host -> harness.awaitBackendCount(host, SERVERS));
    }

    private String sendPlain(EntryHost host, String target) {
        sends++;
        return harness.sendPlainRequest(host, "POST", target, "r" + sends);
    }

    private String sendStream(EntryHost host) {
        sends++;
        return harness.sendStreamRequest(host, "r" + sends);
    }

    private void sendUntilAllHostsRefuse(Function<EntryHost, String> send) {
        Set<Integer> refusing = new HashSet<>();
        for (int sent = 0; sent < MAX_SENDS && refusing.size() < HOSTS; sent++) {
            if (BLOCKED.matcher(send.apply(hosts.get(sent % HOSTS))).matches()) {
                refusing.add(sent % HOSTS);
            }
            awaitServers();
        }
        assertWithMessage("refusing hosts after %s sends", sends).that(refusing).hasSize(HOSTS);
    }

    private int received() {
        return harness.onLoop(() -> servers.stream()
                .mapToInt(server -> server.receivedRequests().size())
                .sum());
    }

    @Nested
    final class AFleet {
        // Incident BUDGET: one response of status 500 cleared a request, and all its later crashes were ignored.
        @Test
        void refuses_it_although_some_of_its_runs_end_with_a_server_error() {
            startFleet("desk");
            assertThat(sendPlain(hosts.get(0), CRASHING_TARGET)).startsWith("HTTP/1.1 502");
            awaitServers();
            harness.onLoop(() -> servers.forEach(server -> server.enqueueActs(Act.FAIL)));
            assertThat(sendPlain(hosts.get(0), CRASHING_TARGET)).startsWith("HTTP/1.1 500");
            sendUntilAllHostsRefuse(host -> sendPlain(host, CRASHING_TARGET));
            int received = received();
            hosts.forEach(host -> sendPlain(host, CRASHING_TARGET));
            assertThat(received()).isEqualTo(received);
            hosts.forEach(host -> assertThat(sendPlain(host, "/bookings/sound")).doesNotContainMatch(BLOCKED));
        }

        // Incident BUDGET: hosts cancel the first runs of a cascade, whose servers may crash just after.
        @Test
        void refuses_it_although_its_hosts_cancel_runs_in_favour_of_a_larger_model() {
            startFleet("llm");
            harness.onLoop(() -> servers.forEach(server -> server.setConfidence(20)));
            sendUntilAllHostsRefuse(CrashingRequestTest.this::sendStream);
        }
    }
}
