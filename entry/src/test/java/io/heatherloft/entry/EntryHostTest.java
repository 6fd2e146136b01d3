package io.heatherloft.entry;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.domain.StableHash;
import io.heatherloft.ports.http.SocketAddresses;
import io.heatherloft.router.http.CallerRequest;
import io.heatherloft.standins.platform.PlatformFixtures;
import io.heatherloft.standins.platform.RunnerStandIn;
import io.heatherloft.standins.platform.RunnerStandIn.Act;
import io.heatherloft.standins.platform.StoreStandIn;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ForkJoinPool;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

final class EntryHostTest {
    private static final int READ_TIMEOUT_MILLIS = 20_000;
    private static final long SLOW_UPLOAD_PAUSE_MILLIS = 500L;

    private final EntryHostHarness harness = new EntryHostHarness();

    @AfterEach
    void close() {
        harness.close();
    }

    private EntryHost startSingleHost() {
        return harness.startReadyHost("entry-1", EntryHostHarness.freePort(), List.of());
    }

    private static List<Integer> eventIds(String response) {
        Matcher matcher = Pattern.compile("id: (\\d+)\n").matcher(response);
        return matcher.results()
                .map(result -> Integer.parseInt(result.group(1)))
                .toList();
    }

    private static List<Integer> allEventIds() {
        return IntStream.rangeClosed(1, 8).boxed().toList();
    }

    private List<CallerRequest> received(RunnerStandIn backend) {
        return harness.onLoop(() -> List.copyOf(backend.receivedRequests()));
    }

    private int totalReceived(RunnerStandIn... backends) {
        return List.of(backends).stream()
                .mapToInt(backend -> received(backend).size())
                .sum();
    }

    @Nested
    final class AStream {
        @Test
        void is_relayed_completely_with_the_backend_servers_seal() {
            harness.startBackend("llm", "i-1", "v1");
            String response = harness.sendStreamRequest(startSingleHost(), "r1");
            assertThat(response).startsWith("HTTP/1.1 200");
            assertThat(response).contains("X-Runner-Seal: i-1.seal");
            assertThat(eventIds(response)).isEqualTo(allEventIds());
            assertThat(response).endsWith("0\r\n\r\n");
        }

        @Test
        void is_dispatched_with_the_workspace_and_without_the_api_key() {
            RunnerStandIn backend = harness.startBackend("llm", "i-1", "v1");
            harness.sendStreamRequest(startSingleHost(), "r1");
            CallerRequest request = received(backend).get(0);
            assertThat(request.headers().get("X-Tenant-Name")).isEqualTo("malmo");
            assertThat(request.headers().get("X-Expect-Runner")).isEqualTo("i-1");
            assertThat(request.headers().contains("Authorization")).isFalse();
            assertThat(request.headers().get("X-Model-Name")).isEqualTo("small");
            assertThat(request.body().toText()).isEqualTo("hello");
        }

        @Test
        void escalates_to_the_large_model_when_the_small_one_reports_low_confidence() {
            RunnerStandIn backend = harness.startBackend("llm", "i-1", "v1");
            harness.onLoop(() -> backend.setConfidence(20));
            String response = harness.sendStreamRequest(startSingleHost(), "r1");
            assertThat(eventIds(response)).isEqualTo(allEventIds());
            assertThat(received(backend).stream()
                            .map(request -> request.headers().get("X-Model-Name"))
                            .toList())
                    .containsExactly("small", "large")
                    .inOrder();
        }

        @Test
        void is_not_reported_as_unexecuted_when_the_small_model_ran_and_the_large_one_was_refused() {
            RunnerStandIn backend = harness.startBackend("llm", "i-1", "v1");
            harness.onLoop(() -> {
                backend.setConfidence(20);
                backend.enqueueActs(Act.ANSWER, Act.REFUSE, Act.REFUSE);
            });
            assertThat(harness.sendStreamRequest(startSingleHost(), "r1")).startsWith("HTTP/1.1 502");
        }

        @Test
        void resumes_at_another_server_after_its_last_complete_event() {
            RunnerStandIn first = harness.startBackend("llm", "i-1", "v1");
            RunnerStandIn second = harness.startBackend("llm", "i-2", "v1");
            harness.onLoop(() -> {
                first.enqueueActs(Act.BREAK_STREAM);
                second.enqueueActs(Act.BREAK_STREAM);
            });
            String response = harness.sendStreamRequest(startSingleHost(), "r1");
            assertThat(eventIds(response)).isEqualTo(allEventIds());
            assertThat(response).endsWith("0\r\n\r\n");
        }

        @Test
        void fails_over_to_another_server_when_the_first_does_not_respond() {
            RunnerStandIn first = harness.startBackend("llm", "i-1", "v1");
            RunnerStandIn second = harness.startBackend("llm", "i-2", "v1");
            harness.onLoop(() -> {
                first.enqueueActs(Act.SILENCE);
                second.enqueueActs(Act.SILENCE);
            });
            EntryHost host = startSingleHost();
            assertThat(eventIds(harness.sendStreamRequest(host, "r1"))).isEqualTo(allEventIds());
            assertThat(totalReceived(first, second)).isEqualTo(3);
        }

        @Test
        void is_cancelled_at_the_backend_server_when_its_caller_disconnects() throws IOException {
            RunnerStandIn backend = harness.startBackend("llm", "i-1", "v1");
            harness.onLoop(() -> backend.enqueueActs(Act.SILENCE));
            EntryHost host = startSingleHost();
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), host.callerPort())) {
                socket.getOutputStream()
                        .write(PlatformFixtures.streamRequest("r1", EntryHostHarness.API_KEY)
                                .getBytes(StandardCharsets.UTF_8));
                harness.await(() -> totalReceived(backend) == 1);
            }
            harness.await(() -> harness.onLoop(backend::callerDisconnects) == 1);
        }
    }

    @Nested
    final class APlainRequest {
        private RunnerStandIn first;
        private RunnerStandIn second;

        private EntryHost startHostWithTwoServers() {
            first = harness.startBackend("desk", "d-1", "v1");
            second = harness.startBackend("desk", "d-2", "v1");
            return startSingleHost();
        }

        private void setNextActOfBoth(Act act) {
            harness.onLoop(() -> {
                first.enqueueActs(act);
                second.enqueueActs(act);
            });
        }

        @Test
        void that_is_idempotent_is_retried_after_a_lost_response() {
            EntryHost host = startHostWithTwoServers();
            harness.onLoop(() -> first.enqueueActs(Act.LOSE_ANSWER));
            harness.onLoop(() -> second.enqueueActs(Act.ANSWER, Act.ANSWER));
            assertThat(harness.sendPlainRequest(host, "GET", "/lookups/x", "r1"))
                    .startsWith("HTTP/1.1 200");
        }

        @Test
        void that_is_idempotent_is_retried_after_a_server_error() {
            EntryHost host = startHostWithTwoServers();
            harness.onLoop(() -> first.enqueueActs(Act.FAIL));
            assertThat(harness.sendPlainRequest(host, "GET", "/lookups/x", "r1"))
                    .startsWith("HTTP/1.1 200");
        }

        @Test
        void that_is_not_idempotent_is_neither_retried_nor_reported_as_unexecuted_after_a_lost_response() {
            EntryHost host = startHostWithTwoServers();
            setNextActOfBoth(Act.LOSE_ANSWER);
            assertThat(harness.sendPlainRequest(host, "POST", "/bookings/x", "r1"))
                    .startsWith("HTTP/1.1 502");
            assertThat(totalReceived(first, second)).isEqualTo(1);
        }

        @Test
        void that_no_server_executed_is_refused_with_a_retry_after_header() {
            EntryHost host = startHostWithTwoServers();
            setNextActOfBoth(Act.REFUSE);
            String response = harness.sendPlainRequest(host, "POST", "/bookings/x", "r1");
            assertThat(response).startsWith("HTTP/1.1 503");
            assertThat(response).contains("retry-after: ");
        }

        @Test
        void never_gets_the_response_to_another_request() {
            EntryHost host = startHostWithTwoServers();
            setNextActOfBoth(Act.ANSWER_ANOTHER);
            assertThat(harness.sendPlainRequest(host, "POST", "/bookings/x", "r1"))
                    .startsWith("HTTP/1.1 504");
        }

        @Test
        void is_not_executed_by_a_server_that_took_over_the_address() {
            EntryHost host = startHostWithTwoServers();
            harness.onLoop(() -> {
                first.restartAs("d-8");
                second.restartAs("d-9");
            });
            assertThat(harness.sendPlainRequest(host, "POST", "/bookings/x", "r1"))
                    .startsWith("HTTP/1.1 503");
            assertThat(totalReceived(first, second)).isEqualTo(0);
        }

        @Test
        @Tag("known-red")
        void that_crashed_three_servers_is_quarantined_on_every_host() {
            int port = EntryHostHarness.freePort();
            EntryHost first = harness.startReadyHost("h-1", port, List.of());
            EntryHost other = harness.startReadyHost("h-2", EntryHostHarness.freePort(), List.of(port));
            for (int crash = 1; crash <= 3; crash++) {
                String id = "d-" + crash;
                RunnerStandIn server = harness.startBackend("desk", id, "v1");
                harness.awaitBackendCount(first, 1);
                harness.onLoop(() -> server.enqueueActs(Act.LOSE_ANSWER));
                assertThat(harness.sendPlainRequest(first, "POST", "/bookings/x", "r" + crash))
                        .startsWith("HTTP/1.1 502");
                harness.onLoop(() -> harness.store.delete("servers/" + id));
                harness.awaitBackendCount(first, 0);
            }
            RunnerStandIn fourth = harness.startBackend("desk", "d-4", "v1");
            // It never answers: a complete response would show that the request does not crash each server.
            harness.onLoop(() ->
                    fourth.enqueueActs(Collections.nCopies(200, Act.LOSE_ANSWER).toArray(Act[]::new)));
            harness.awaitBackendCount(other, 1);
            harness.awaitBackendCount(first, 1);
            harness.await(() ->
                    harness.sendPlainRequest(other, "POST", "/bookings/x", "r9").startsWith("HTTP/1.1 503"));
            int received = harness.onLoop(fourth.receivedRequests()::size);
            assertThat(harness.sendPlainRequest(first, "POST", "/bookings/x", "r10"))
                    .startsWith("HTTP/1.1 503");
            assertThat(harness.onLoop(fourth.receivedRequests()::size)).isEqualTo(received);
        }

        @Test
        void with_an_unknown_key_gets_401_and_without_a_route_gets_404() {
            EntryHost host = startHostWithTwoServers();
            String unknownKeyRequest = EntryHostHarness.withConnectionClose(
                    PlatformFixtures.plainRequest("GET", "/lookups/x", "r1", "k9"));
            assertThat(EntryHostHarness.exchange(host.callerPort(), unknownKeyRequest))
                    .startsWith("HTTP/1.1 401");
            assertThat(harness.sendPlainRequest(host, "GET", "/nowhere/x", "r2"))
                    .startsWith("HTTP/1.1 404");
        }
    }

    @Nested
    final class StoreSynchronization {
        @Test
        void applies_the_removal_of_an_api_key() {
            harness.startBackend("desk", "d-1", "v1");
            EntryHost host = startSingleHost();
            assertThat(harness.sendPlainRequest(host, "GET", "/lookups/x", "r1"))
                    .startsWith("HTTP/1.1 200");
            harness.onLoop(() -> harness.store.put("op/config", PlatformFixtures.configuration(4, "k2")));
            harness.await(() ->
                    harness.sendPlainRequest(host, "GET", "/lookups/x", "r2").startsWith("HTTP/1.1 401"));
        }

        @Test
        void ignores_an_older_configuration() {
            harness.startBackend("desk", "d-1", "v1");
            EntryHost host = startSingleHost();
            harness.onLoop(() -> harness.store.put("op/config", PlatformFixtures.configuration(4, "k2")));
            harness.await(() ->
                    harness.sendPlainRequest(host, "GET", "/lookups/x", "r1").startsWith("HTTP/1.1 401"));
            harness.onLoop(
                    () -> harness.store.put("op/config", PlatformFixtures.configuration(3, EntryHostHarness.API_KEY)));
            // The same watch delivers this unreadable value after the configuration, so once the value has been
            // counted, the configuration has been processed too.
            harness.onLoop(() -> harness.store.put("op/rollout/desk", "[]"));
            harness.await(
                    () -> harness.get(host.metricsPort(), "/metrics").contains("store_values_unreadable_total 1"));
            assertThat(harness.sendPlainRequest(host, "GET", "/lookups/x", "r2"))
                    .startsWith("HTTP/1.1 401");
        }

        @Test
        void sends_no_new_requests_to_a_draining_server() {
            RunnerStandIn leaving = harness.startBackend("desk", "d-1", "v1");
            RunnerStandIn staying = harness.startBackend("desk", "d-2", "v1");
            EntryHost host = startSingleHost();
            harness.onLoop(() -> harness.store.put(
                    "servers/d-1",
                    PlatformFixtures.backendEntry("desk", harness.backendPort("d-1"), "v1", "draining")));
            harness.onLoop(() -> harness.store.put("servers/d-3", "{\"state\":1}"));
            harness.await(
                    () -> harness.get(host.metricsPort(), "/metrics").contains("store_values_unreadable_total 1"));
            int before = totalReceived(leaving);
            IntStream.range(0, 6).forEach(index -> harness.sendPlainRequest(host, "GET", "/lookups/x", "r" + index));
            assertThat(totalReceived(leaving)).isEqualTo(before);
            assertThat(totalReceived(staying)).isAtLeast(6);
        }

        @Test
        void keeps_serving_during_a_store_outage() {
            harness.startBackend("desk", "d-1", "v1");
            EntryHost host = startSingleHost();
            harness.onLoop(() -> harness.store.setFault(StoreStandIn.Fault.REFUSING));
            assertThat(harness.sendPlainRequest(host, "GET", "/lookups/x", "r1"))
                    .startsWith("HTTP/1.1 200");
            assertThat(harness.isReady(host)).isTrue();
        }

        @Test
        void lists_all_keys_again_when_the_store_has_dropped_its_history() {
            harness.startBackend("desk", "d-1", "v1");
            EntryHost host = startSingleHost();
            harness.onLoop(() -> {
                harness.store.setFault(StoreStandIn.Fault.REFUSING);
                harness.store.put("op/config", PlatformFixtures.configuration(4, "k2"));
                harness.store.compactHistory();
                harness.store.setFault(StoreStandIn.Fault.NONE);
            });
            harness.await(() ->
                    harness.sendPlainRequest(host, "GET", "/lookups/x", "r1").startsWith("HTTP/1.1 401"));
        }

        @Test
        void is_done_through_peers_when_a_host_starts_during_a_store_outage() {
            harness.startBackend("desk", "d-1", "v1");
            int firstPeer = EntryHostHarness.freePort();
            harness.startReadyHost("entry-1", firstPeer, List.of());
            harness.onLoop(() -> harness.store.setFault(StoreStandIn.Fault.REFUSING));
            EntryHost lateHost = harness.startReadyHost("entry-2", EntryHostHarness.freePort(), List.of(firstPeer));
            assertThat(harness.sendPlainRequest(lateHost, "GET", "/lookups/x", "r1"))
                    .startsWith("HTTP/1.1 200");
        }
    }

    @Nested
    final class ARollout {
        private void startRollout(double seconds) {
            harness.onLoop(() -> harness.store.put(
                    "op/rollout/llm", "{\"service\":\"llm\",\"target\":\"v2\",\"duration_s\":" + seconds + "}"));
        }

        private String storedState() {
            return harness.onLoop(() -> harness.store.read("status/rollout/llm").orElse(""));
        }

        @Test
        void of_a_good_version_is_completed() {
            harness.startBackend("llm", "i-1", "v1");
            harness.startBackend("llm", "i-2", "v2");
            startSingleHost();
            startRollout(1.5);
            harness.await(() -> storedState().contains("\"completed\""));
            assertThat(storedState()).contains("\"target\":\"v2\"");
        }

        @Test
        void of_a_bad_version_is_reverted_and_gets_no_further_request() {
            harness.startBackend("llm", "i-1", "v1");
            RunnerStandIn failing = harness.startBackend("llm", "i-2", "v2");
            EntryHost host = startSingleHost();
            harness.onLoop(() -> IntStream.range(0, 500).forEach(_index -> failing.enqueueActs(Act.FAIL)));
            startRollout(3.0);
            int[] sent = new int[1];
            harness.await(() -> {
                sent[0]++;
                harness.sendStreamRequest(host, "r" + sent[0]);
                return storedState().contains("\"reverted\"");
            });
            int before = totalReceived(failing);
            IntStream.range(0, 10).forEach(index -> harness.sendStreamRequest(host, "after" + index));
            assertThat(totalReceived(failing)).isEqualTo(before);
        }

        @Test
        void of_a_bad_version_fails_no_request_that_the_previous_version_can_answer() {
            harness.startBackend("llm", "i-1", "v1");
            List<RunnerStandIn> failing =
                    List.of(harness.startBackend("llm", "i-2", "v2"), harness.startBackend("llm", "i-3", "v2"));
            EntryHost host = startSingleHost();
            harness.onLoop(() ->
                    failing.forEach(server -> IntStream.range(0, 500).forEach(_index -> server.enqueueActs(Act.FAIL))));
            startRollout(3.0);
            int[] sent = new int[1];
            harness.await(() -> {
                sent[0]++;
                assertThat(harness.sendStreamRequest(host, "r" + sent[0])).startsWith("HTTP/1.1 200");
                return storedState().contains("\"reverted\"");
            });
        }

        @Test
        void in_progress_moves_no_session_whose_last_request_outlasted_the_idle_timeout() {
            harness.sessionIdleTimeoutMillis = 300L;
            RunnerStandIn before = harness.startBackend("llm", "i-1", "v1");
            RunnerStandIn target = harness.startBackend("llm", "i-2", "v2");
            EntryHost host = startSingleHost();
            String session = IntStream.range(0, 1_000)
                    .mapToObj(index -> "session-" + index)
                    .filter(name -> StableHash.toUnitInterval(StableHash.of("llm/v2", name)) < 0.05)
                    .findFirst()
                    .orElseThrow();
            harness.onLoop(() -> {
                before.enqueueActs(Act.DELAY);
                target.enqueueActs(Act.DELAY);
            });
            CompletableFuture<String> first = CompletableFuture.supplyAsync(
                    () -> sendStreamRequest(host, session, "r1"), ForkJoinPool.commonPool());
            harness.await(() -> totalReceived(before, target) == 1);
            int onTarget = totalReceived(target);
            startRollout(5.0);
            assertThat(first.join()).startsWith("HTTP/1.1 200");
            assertThat(sendStreamRequest(host, session, "r2")).startsWith("HTTP/1.1 200");
            assertThat(onTarget).isEqualTo(0);
            assertThat(totalReceived(target)).isEqualTo(0);
        }

        private String sendStreamRequest(EntryHost host, String session, String id) {
            return EntryHostHarness.exchange(
                    host.callerPort(),
                    EntryHostHarness.withConnectionClose(PlatformFixtures.streamRequest(id, EntryHostHarness.API_KEY)
                            .replace("Session: s1", "Session: " + session)));
        }

        @Test
        void completes_although_the_stores_responses_are_lost() {
            harness.startBackend("llm", "i-1", "v1");
            harness.startBackend("llm", "i-2", "v2");
            startSingleHost();
            harness.onLoop(() -> harness.store.setFault(StoreStandIn.Fault.LOSING_ANSWERS));
            startRollout(1.0);
            harness.await(() -> storedState().contains("\"completed\""));
        }
    }

    @Nested
    final class AStart {
        @Test
        void answers_callers_that_connected_before_the_host_had_started() throws IOException {
            harness.startBackend("desk", "d-1", "v1");
            String address = "127.0.0.1:" + EntryHostHarness.freePort();
            EarlyListener earlyListener = EarlyListener.listenAt(address);
            int port = SocketAddresses.parse(address).getPort();
            try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
                caller.setSoTimeout(20_000);
                String request = PlatformFixtures.plainRequest("GET", "/lookups/x", "r1", EntryHostHarness.API_KEY);
                caller.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
                EntryHost host =
                        harness.startHost("h-1", EntryHostHarness.freePort(), List.of(), address, earlyListener);
                String status = new String(caller.getInputStream().readNBytes(12), StandardCharsets.UTF_8);
                assertThat(status).isEqualTo("HTTP/1.1 200");
                assertThat(host.callerPort()).isEqualTo(port);
            }
        }

        @Test
        void listens_at_the_configured_address_if_the_early_address_differs() {
            harness.startBackend("desk", "d-1", "v1");
            int other = EntryHostHarness.freePort();
            EarlyListener earlyListener = EarlyListener.listenAt("127.0.0.1:" + other);
            EntryHost host =
                    harness.startHost("h-1", EntryHostHarness.freePort(), List.of(), "127.0.0.1:0", earlyListener);
            harness.await(() -> harness.isReady(host));
            assertThat(harness.sendPlainRequest(host, "GET", "/lookups/x", "r1"))
                    .startsWith("HTTP/1.1 200");
            assertThat(harness.get(other, "/lookups/x")).startsWith("connection failed");
        }
    }

    @Nested
    final class AStop {
        @Test
        void still_answers_requests_and_reports_that_the_host_is_not_ready() {
            harness.startBackend("desk", "d-1", "v1");
            EntryHost host = startSingleHost();
            CompletableFuture<Void> stopped = host.stop();
            harness.await(() -> !harness.isReady(host));
            assertThat(harness.sendPlainRequest(host, "GET", "/lookups/x", "r1"))
                    .startsWith("HTTP/1.1 200");
            stopped.join();
            assertThat(harness.sendPlainRequest(host, "GET", "/lookups/x", "r2"))
                    .startsWith("connection failed");
        }

        @Test
        void answers_each_request_that_was_read_before_the_process_ends() {
            RunnerStandIn server = harness.startBackend("desk", "d-1", "v1");
            EntryHost host = startSingleHost();
            harness.onLoop(() -> IntStream.range(0, 500).forEach(_index -> server.enqueueActs(Act.DELAY)));
            CompletableFuture<Void> ended = host.stop().thenRun(host::shutdownNow);
            Map<String, CompletableFuture<String>> responses = new HashMap<>();
            harness.await(() -> {
                String id = "r" + responses.size();
                responses.put(
                        id,
                        CompletableFuture.supplyAsync(
                                () -> harness.sendPlainRequest(host, "GET", "/lookups/x", id),
                                ForkJoinPool.commonPool()));
                return ended.isDone();
            });
            List<CallerRequest> dispatched = received(server);
            assertThat(dispatched).isNotEmpty();
            dispatched.forEach(request -> assertThat(
                            responses.get(request.headers().get("X-Attempt-Id")).join())
                    .startsWith("HTTP/1.1 200"));
        }

        // The process ended as soon as no request was dispatched, while requests were still being read (review/4).
        @Test
        void answers_a_request_whose_body_arrives_after_the_end_of_accepting() throws Exception {
            RunnerStandIn server = harness.startBackend("llm", "i-1", "v1");
            EntryHost host = startSingleHost();
            harness.onLoop(() -> server.enqueueActs(Act.DELAY));
            String response = sendBodyAfterTheEndOfAccepting(host, 6_500);
            assertThat(response).startsWith("HTTP/1.1 200");
            assertThat(eventIds(response)).isEqualTo(allEventIds());
            assertThat(response).contains("connection: close");
        }

        // A stopped host passed on requests that its own end could cut off.
        @Test
        void refuses_a_request_that_could_outlast_it_and_arrives_after_the_end_of_accepting() throws Exception {
            RunnerStandIn server = harness.startBackend("llm", "i-1", "v1");
            EntryHost host = startSingleHost();
            String response = sendBodyAfterTheEndOfAccepting(host, 20_000);
            assertThat(response).startsWith("HTTP/1.1 503");
            assertThat(response).contains("retry-after: 0.1");
            assertThat(received(server)).isEmpty();
        }

        private String sendBodyAfterTheEndOfAccepting(EntryHost host, int deadlineMillis) throws Exception {
            String request = PlatformFixtures.streamRequest("r1", EntryHostHarness.API_KEY)
                    .replace("X-Deadline-Ms: 5000", "X-Deadline-Ms: " + deadlineMillis);
            int readAtFirst = request.length() - 2;
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), host.callerPort())) {
                write(socket, request.substring(0, readAtFirst));
                harness.await(() -> harness.get(host.metricsPort(), "/metrics").contains("caller_connections 1"));
                CompletableFuture<Void> ended = host.stop().thenRun(host::shutdownNow);
                harness.await(() -> harness.get(host.callerPort(), "/lookups/x")
                        .startsWith("connection failed: Connection refused"));
                // A process that does not wait for the body is gone by then.
                Thread.sleep(SLOW_UPLOAD_PAUSE_MILLIS);
                write(socket, request.substring(readAtFirst));
                String response = readAll(socket);
                ended.join();
                return response;
            }
        }

        // Requests without a response were cut at the end of the grace period, those that no server had run among them.
        @Test
        void ends_each_request_that_cannot_be_completed_with_a_final_response() throws IOException {
            RunnerStandIn server = harness.startBackend("llm", "i-1", "v1");
            harness.onLoop(() -> server.setHolding(true));
            EntryHost host = startSingleHost();
            String sent = PlatformFixtures.streamRequest("r1", EntryHostHarness.API_KEY)
                    .replace("X-Deadline-Ms: 5000", "X-Deadline-Ms: 20000");
            String incomplete = PlatformFixtures.streamRequest("r2", EntryHostHarness.API_KEY)
                    .replace("Content-Length: 5", "Content-Length: 9");
            try (Socket first = new Socket(InetAddress.getLoopbackAddress(), host.callerPort());
                    Socket second = new Socket(InetAddress.getLoopbackAddress(), host.callerPort())) {
                write(first, sent);
                write(second, incomplete);
                harness.await(() -> !received(server).isEmpty());
                CompletableFuture<Void> ended = host.stop().thenRun(host::shutdownNow);
                CompletableFuture<Void> endedTwice = host.stop();
                assertThat(readAll(first)).startsWith("HTTP/1.1 502");
                String refusal = readAll(second);
                assertThat(refusal).startsWith("HTTP/1.1 503");
                assertThat(refusal.toLowerCase(Locale.ROOT)).contains("retry-after: 0.1");
                ended.join();
                endedTwice.join();
            }
        }

        private static void write(Socket socket, String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        private static String readAll(Socket socket) throws IOException {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
