package io.heatherloft.entry;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.standins.platform.PlatformFixtures;
import io.heatherloft.standins.platform.RunnerStandIn;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Requests whose prompts share a part that crashes each backend server which begins to respond to it. */
final class CrashingPromptTest {
    private static final String CRASHING_PART = "bad00bad";
    private static final String FIRST_PART = "5c1e07a2:800,";
    private static final int HOSTS = 3;
    private static final int MAX_SENDS = 3;
    private static final int SERVERS = 6;
    // Each request can crash as many servers as it has sends, so the hosts have to learn from few requests.
    private static final int MAX_CRASHING_REQUESTS = 20;

    private final EntryHostHarness harness = new EntryHostHarness();
    private final List<EntryHost> hosts = new ArrayList<>();
    private final List<RunnerStandIn> servers = new ArrayList<>();
    private int requests;

    @AfterEach
    void close() {
        harness.close();
    }

    private void startFleet() {
        int seedPort = EntryHostHarness.freePort();
        IntStream.range(0, SERVERS)
                .forEach(index -> servers.add(harness.startBackendCrashingOn(
                        request -> RunnerStandIn.isPromptPart(CRASHING_PART, request), "llm", "llm-" + index)));
        IntStream.range(0, HOSTS)
                .forEach(index -> hosts.add(harness.startReadyHost(
                        "h-" + index,
                        index == 0 ? seedPort : EntryHostHarness.freePort(),
                        index == 0 ? List.of() : List.of(seedPort))));
        hosts.forEach(host -> harness.awaitBackendCount(host, SERVERS));
    }

    private String send(EntryHost host, String part) {
        requests++;
        return EntryHostHarness.exchange(
                host.callerPort(),
                EntryHostHarness.withConnectionClose(PlatformFixtures.streamRequest(
                        "r" + requests, EntryHostHarness.API_KEY, FIRST_PART + part + ":410")));
    }

    private void crashServersUntilAllHostsRefuse() {
        Set<Integer> refusing = new HashSet<>();
        for (int sent = 0; sent < MAX_CRASHING_REQUESTS && refusing.size() < HOSTS; sent++) {
            if (isRefusedAsCrashing(sendUntilAccepted(hosts.get(sent % HOSTS)))) {
                refusing.add(sent % HOSTS);
            }
            harness.await(() -> harness.onLoop(() -> servers.stream().noneMatch(RunnerStandIn::isCrashed)));
            hosts.forEach(host -> harness.awaitBackendCount(host, SERVERS));
        }
        assertThat(refusing).hasSize(HOSTS);
    }

    // A server that has just restarted rejects what was meant for its earlier process until the hosts have read its new
    // entry. Such a request crashes no server, and its caller is told to come back.
    private String sendUntilAccepted(EntryHost host) {
        AtomicReference<String> response = new AtomicReference<>("");
        harness.await(() -> {
            response.set(send(host, CRASHING_PART));
            return !isNotAccepted(response.get());
        });
        return response.get();
    }

    private static boolean isNotAccepted(String response) {
        return response.startsWith("HTTP/1.1 503") && response.contains("retry-after: 0.30");
    }

    private long crashingRequestsReceived() {
        return harness.onLoop(() -> servers.stream()
                .mapToLong(server -> server.receivedRequestsWithPart(CRASHING_PART))
                .sum());
    }

    // Of the reasons for a refusal, this one alone asks callers to wait for five minutes.
    private static boolean isRefusedAsCrashing(String response) {
        return response.startsWith("HTTP/1.1 503") && response.contains("retry-after: 300");
    }

    @Nested
    final class AFleet {
        // Incident BUDGET: requests that shared a part of their prompts, and nothing else, crashed servers without end.
        @Test
        void refuses_requests_with_the_part_on_every_host_and_serves_the_others() {
            startFleet();
            hosts.forEach(host -> assertThat(send(host, "91bd3f06")).startsWith("HTTP/1.1 200"));
            crashServersUntilAllHostsRefuse();
            long received = crashingRequestsReceived();
            hosts.forEach(host ->
                    assertThat(isRefusedAsCrashing(send(host, CRASHING_PART))).isTrue());
            assertThat(crashingRequestsReceived()).isEqualTo(received);
            hosts.forEach(host -> harness.await(() -> send(host, "91bd3f06").startsWith("HTTP/1.1 200")));
            hosts.forEach(host -> harness.await(() -> send(host, "0badcafe").startsWith("HTTP/1.1 200")));
        }

        // Without a record in the store, a fleet whose hosts all end learns a crashing part anew, by as many crashes.
        @Test
        void that_starts_anew_still_refuses_them() {
            startFleet();
            crashServersUntilAllHostsRefuse();
            harness.await(() -> !harness.onLoop(() -> harness.store.keys("heatherloft/crashes/"))
                    .isEmpty());
            hosts.forEach(EntryHost::shutdownNow);
            EntryHost started = harness.startReadyHost("h-9", EntryHostHarness.freePort(), List.of());
            harness.awaitBackendCount(started, SERVERS);
            long received = crashingRequestsReceived();
            harness.await(() -> isRefusedAsCrashing(send(started, CRASHING_PART)));
            assertThat(crashingRequestsReceived() - received).isAtMost(MAX_SENDS);
            harness.await(() -> send(started, "91bd3f06").startsWith("HTTP/1.1 200"));
        }
    }
}
