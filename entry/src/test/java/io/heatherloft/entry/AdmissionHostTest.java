package io.heatherloft.entry;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.standins.platform.PlatformFixtures;
import io.heatherloft.standins.platform.RunnerStandIn;
import io.heatherloft.standins.platform.RunnerStandIn.Act;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class AdmissionHostTest {
    // The number of slots in the entries of the stand-ins.
    private static final int SLOTS = 64;
    // Longer than a busy machine takes to fill the slots and the queue.
    private static final int LONG_MILLIS = 20_000;

    /** Returns a configuration whose plain requests may last for {@link #LONG_MILLIS}. */
    private static String longConfiguration() {
        return PlatformFixtures.configuration(2, EntryHostHarness.API_KEY)
                .replace("\"timeout_ms\":2000", "\"timeout_ms\":" + LONG_MILLIS);
    }

    private static String booking(String id, int deadlineMillis) {
        return EntryHostHarness.withConnectionClose(
                PlatformFixtures.plainRequest("POST", "/bookings/x", id, EntryHostHarness.API_KEY)
                        .replaceFirst("X-Deadline-Ms: [0-9]+", "X-Deadline-Ms: " + deadlineMillis));
    }

    /** A request that comes while the slots of the only server are taken. */
    @Nested
    final class ARequestBeyondTheSlots {
        private static final int LATER = 6;

        /** Returns the responses to requests that come once all slots are taken; the server first answers when they wait. */
        private List<String> send(Act act, int deadlineMillis) {
            ExecutorService callers = Executors.newFixedThreadPool(SLOTS + LATER);
            try (EntryHostHarness harness = new EntryHostHarness()) {
                harness.admissionControl = true;
                harness.onLoop(() -> harness.store.put("op/config", longConfiguration()));
                RunnerStandIn server = harness.startBackend("desk", "d1", "v1");
                EntryHost host = harness.startReadyHost("h1", EntryHostHarness.freePort(), List.of());
                harness.awaitBackendCount(host, 1);
                harness.onLoop(() -> {
                    IntStream.range(0, SLOTS).forEach(_index -> server.enqueueActs(act));
                    server.setHolding(act == Act.ANSWER);
                });
                IntStream.range(0, SLOTS)
                        .forEach(index -> callers.execute(
                                () -> EntryHostHarness.exchange(host.callerPort(), booking("a" + index, LONG_MILLIS))));
                harness.await(
                        () -> harness.get(host.metricsPort(), "/metrics").contains("requests_in_progress " + SLOTS));
                List<CompletableFuture<String>> responses = IntStream.range(0, LATER)
                        .mapToObj(index -> booking("b" + index, deadlineMillis))
                        .map(request -> CompletableFuture.supplyAsync(
                                () -> EntryHostHarness.exchange(host.callerPort(), request), callers))
                        .toList();
                if (act == Act.ANSWER) {
                    harness.await(
                            () -> harness.get(host.metricsPort(), "/metrics").contains("admission_waiting " + LATER));
                    harness.onLoop(() -> server.setHolding(false));
                }
                return responses.stream().map(CompletableFuture::join).toList();
            } finally {
                callers.shutdownNow();
            }
        }

        // Guards against a refusal of requests that need only wait for a slot.
        @Test
        void waits_for_a_slot_and_is_answered() {
            send(Act.ANSWER, 2_000).forEach(response -> assertThat(response).startsWith("HTTP/1.1 200"));
        }

        // Guards against requests that wait until their deadline, and against a 504 for one that no server has seen.
        @Test
        void is_refused_before_its_deadline_if_none_comes_free() {
            // The other requests occupy their slots for the 20 s of the route's time-out.
            send(Act.SILENCE, 800).forEach(response -> {
                assertThat(response).startsWith("HTTP/1.1 503");
                assertThat(response).contains("retry-after: 0.1");
            });
        }
    }

    /** A host that is told to stop; requests have 20 s, so they outlast it. */
    @Nested
    final class AStoppedHost {
        private static final int LATER = 6;
        private final EntryHostHarness harness = new EntryHostHarness();
        private final ExecutorService callers = Executors.newCachedThreadPool();

        @AfterEach
        void close() {
            callers.shutdownNow();
            harness.close();
        }

        private EntryHost start(boolean admissionControl) {
            harness.admissionControl = admissionControl;
            harness.onLoop(() -> harness.store.put(
                    "op/config",
                    PlatformFixtures.configuration(2, EntryHostHarness.API_KEY)
                            .replace("\"timeout_ms\":2000", "\"timeout_ms\":20000")));
            return harness.startReadyHost("h1", EntryHostHarness.freePort(), List.of());
        }

        private CompletableFuture<String> send(EntryHost host, String id) {
            String request = PlatformFixtures.plainRequest("POST", "/bookings/x", id, EntryHostHarness.API_KEY)
                    .replaceFirst("X-Deadline-Ms: [0-9]+", "X-Deadline-Ms: 20000");
            return CompletableFuture.supplyAsync(
                    () -> EntryHostHarness.exchange(host.callerPort(), EntryHostHarness.withConnectionClose(request)),
                    callers);
        }

        private void awaitMetric(EntryHost host, String line) {
            harness.await(() -> harness.get(host.metricsPort(), "/metrics").contains(line));
        }

        // The host accepts connections until it sends no more requests that outlast it.
        private void awaitLastSend(EntryHost host) {
            harness.await(() -> EntryHostHarness.exchange(host.callerPort(), "")
                    .startsWith("connection failed: Connection refused"));
        }

        // Guards against requests that wait in a stopped host until its end and get no answer.
        @Test
        void refuses_what_waits_and_answers_what_was_sent() {
            EntryHost host = start(true);
            RunnerStandIn server = harness.startBackend("desk", "d1", "v1");
            harness.awaitBackendCount(host, 1);
            harness.onLoop(() -> server.setHolding(true));
            List<CompletableFuture<String>> sent = IntStream.range(0, SLOTS)
                    .mapToObj(index -> send(host, "a" + index))
                    .toList();
            awaitMetric(host, "requests_in_progress " + SLOTS);
            List<CompletableFuture<String>> waiting = IntStream.range(0, LATER)
                    .mapToObj(index -> send(host, "b" + index))
                    .toList();
            awaitMetric(host, "admission_waiting " + LATER);
            CompletableFuture<Void> stopped = host.stop();
            CompletableFuture.anyOf(stopped, CompletableFuture.allOf(waiting.toArray(new CompletableFuture<?>[0])))
                    .join();
            harness.onLoop(() -> server.setHolding(false));
            stopped.join();
            host.shutdownNow();
            waiting.forEach(response -> {
                assertThat(response.join()).startsWith("HTTP/1.1 503");
                assertThat(response.join()).contains("retry-after: 0.1");
            });
            sent.forEach(response -> assertThat(response.join()).startsWith("HTTP/1.1 200"));
        }

        // Guards against repetitions that are sent so late that the host's end cuts them off without an excuse.
        @ParameterizedTest
        @ValueSource(booleans = {true, false})
        void does_not_send_again_what_it_would_cut_off(boolean admissionControl) {
            EntryHost host = start(admissionControl);
            RunnerStandIn server = harness.startBackend("desk", "d1", "v1");
            harness.awaitBackendCount(host, 1);
            harness.onLoop(() -> {
                server.setHolding(true);
                server.enqueueActs(Act.REFUSE);
            });
            CompletableFuture<String> response = send(host, "a1");
            awaitMetric(host, "requests_in_progress 1");
            harness.startBackend("desk", "d2", "v1");
            harness.awaitBackendCount(host, 2);
            CompletableFuture<Void> stopped = host.stop();
            awaitLastSend(host);
            harness.onLoop(() -> server.setHolding(false));
            assertThat(response.join()).startsWith("HTTP/1.1 503");
            assertThat(response.join()).contains("retry-after: 0.1");
            stopped.join();
        }
    }

    /** A request to be sent again, while the only server is full and more urgent requests wait for its slots. */
    @Nested
    final class ARequestSentAgainUnderOverload {
        private static final int URGENT = 6;
        private final EntryHostHarness harness = new EntryHostHarness();
        private final ExecutorService callers = Executors.newCachedThreadPool();
        private RunnerStandIn server;
        private EntryHost host;

        @BeforeEach
        void start() {
            harness.admissionControl = true;
            // The bookings are the most urgent, use the servers of the streams and last until they are answered.
            harness.onLoop(() -> harness.store.put(
                    "op/config",
                    PlatformFixtures.configuration(2, EntryHostHarness.API_KEY)
                            .replace("\"timeout_ms\":2000", "\"timeout_ms\":20000")
                            .replace("\"service\":\"desk\"", "\"service\":\"llm\"")
                            .replaceFirst("\"priority\":2", "\"priority\":0")
                            .replace("\"priority\":1,\"sizes\"", "\"priority\":5,\"sizes\"")
                            .replace("\"api_keys\":[\"k1\"],\"priority\":1", "\"api_keys\":[\"k1\"]")));
            server = harness.startBackend("llm", "s1", "v1");
            host = harness.startReadyHost("h1", EntryHostHarness.freePort(), List.of());
            harness.awaitBackendCount(host, 1);
        }

        @AfterEach
        void close() {
            callers.shutdownNow();
            harness.close();
        }

        private CompletableFuture<String> send(String request) {
            return CompletableFuture.supplyAsync(
                    () -> EntryHostHarness.exchange(host.callerPort(), EntryHostHarness.withConnectionClose(request)),
                    callers);
        }

        private void sendBookings(String prefix, int count) {
            IntStream.range(0, count).forEach(index -> {
                CompletableFuture<String> _response = send(
                        PlatformFixtures.plainRequest("POST", "/bookings/x", prefix + index, EntryHostHarness.API_KEY)
                                .replaceFirst("X-Deadline-Ms: [0-9]+", "X-Deadline-Ms: 20000"));
            });
        }

        private void awaitMetric(String line) {
            harness.await(() -> harness.get(host.metricsPort(), "/metrics").contains(line));
        }

        /** Sends a request that the server begins to answer once it and the queue are full. */
        private CompletableFuture<String> sendAmongUrgent(Act act, Act next, String request) {
            CompletableFuture<String> response = sendAndHold(act, next, request);
            harness.onLoop(() -> server.setHolding(false));
            return response;
        }

        /**
         * Sends a request, for which the server holds its response, and fills the server and the queue.
         *
         * @param next behaviour of the server for the request that it gets next
         */
        private CompletableFuture<String> sendAndHold(Act act, Act next, String request) {
            harness.onLoop(() -> {
                IntStream.range(0, SLOTS - 1).forEach(_index -> server.enqueueActs(Act.SILENCE));
                server.enqueueActs(act, next);
                IntStream.range(0, URGENT).forEach(_index -> server.enqueueActs(Act.SILENCE));
            });
            sendBookings("a", SLOTS - 1);
            awaitMetric("requests_in_progress " + (SLOTS - 1));
            harness.await(() -> harness.onLoop(() -> server.receivedRequests().size()) == SLOTS - 1);
            harness.onLoop(() -> server.setHolding(true));
            CompletableFuture<String> response = send(request);
            harness.await(() -> harness.onLoop(() -> server.receivedRequests().size()) == SLOTS);
            sendBookings("b", URGENT);
            harness.await(() -> harness.get(host.metricsPort(), "/metrics").contains("admission_waiting " + URGENT)
                    || harness.get(host.metricsPort(), "/metrics").contains("admission_waiting " + (URGENT + 1)));
            return response;
        }

        private String stream(int deadlineMillis) {
            return PlatformFixtures.streamRequest("s", EntryHostHarness.API_KEY)
                    .replaceFirst("X-Deadline-Ms: [0-9]+", "X-Deadline-Ms: " + deadlineMillis);
        }

        private void assertWhole(String response) {
            assertThat(response).startsWith("HTTP/1.1 200");
            IntStream.rangeClosed(1, 8).forEach(event -> assertThat(response.split("id: " + event + "\n", -1))
                    .hasLength(2));
            assertThat(response).endsWith("0\r\n\r\n");
        }

        // Guards against a stream that is cancelled because its server pauses, and then broken off because the slot
        // that it gave up goes to others.
        @Test
        void keeps_its_stream_while_the_server_pauses() {
            CompletableFuture<String> response = sendAmongUrgent(Act.PAUSE_STREAM, Act.SILENCE, stream(9_000));
            harness.await(
                    () -> harness.get(host.metricsPort(), "/metrics").contains("admission_waiting " + (URGENT + 1))
                            || harness.onLoop(() -> server.callerDisconnects()) > 0);
            harness.onLoop(() -> server.resumeStreams());
            assertWhole(response.join());
            awaitMetric("admission_waiting " + (URGENT - 1));
            assertThat(harness.onLoop(() -> server.callerDisconnects())).isEqualTo(0);
        }

        // Guards against a stream that stays with a silent server although another one has capacity.
        @Test
        void goes_on_at_another_server_once_that_has_capacity() {
            CompletableFuture<String> response = sendAmongUrgent(Act.PAUSE_STREAM, Act.SILENCE, stream(20_000));
            awaitMetric("admission_waiting " + (URGENT + 1));
            RunnerStandIn other = harness.startBackend("llm", "s2", "v1");
            assertWhole(response.join());
            assertThat(harness.onLoop(() -> other.receivedRequests().stream()
                            .map(request -> request.headers().get("Last-Event-Id", ""))
                            .filter("4"::equals)
                            .count()))
                    .isEqualTo(1);
            assertThat(harness.onLoop(() -> server.callerDisconnects())).isEqualTo(1);
        }

        // Guards against a stream that its server broke off and that is then refused in favour of urgent requests.
        @Test
        void goes_on_first_after_its_server_broke_off() {
            assertWhole(
                    sendAmongUrgent(Act.BREAK_STREAM, Act.ANSWER, stream(9_000)).join());
        }

        // Guards against a response of low confidence that is dropped although no server can run a larger model.
        @Test
        void keeps_a_response_of_low_confidence() {
            harness.onLoop(() -> server.setConfidence(10));
            assertWhole(sendAmongUrgent(Act.ANSWER, Act.SILENCE, stream(9_000)).join());
        }

        // Guards against a 502 for a request whose repetition after a 5xx waits behind others.
        @Test
        void is_answered_after_a_server_error() {
            String request = PlatformFixtures.plainRequest("GET", "/lookups/x", "l", EntryHostHarness.API_KEY);
            String response = sendAmongUrgent(Act.FAIL, Act.ANSWER, request).join();
            assertThat(response).contains("X-Runner-Seal: s1.seal");
        }

        // Guards against a 502 for a request whose repetition is refused while its server still works on it.
        @Test
        void stays_with_its_server_if_its_repetition_is_refused() {
            String request = PlatformFixtures.plainRequest("GET", "/lookups/x", "l", EntryHostHarness.API_KEY)
                    .replaceFirst("X-Deadline-Ms: [0-9]+", "X-Deadline-Ms: 8000");
            CompletableFuture<String> response = sendAndHold(Act.ANSWER, Act.SILENCE, request);
            harness.await(() -> response.isDone()
                    || harness.get(host.metricsPort(), "/metrics").contains("admission_total_kept"));
            harness.onLoop(() -> server.setHolding(false));
            assertThat(response.join()).startsWith("HTTP/1.1 200");
        }
    }

    /** A stream whose server falls silent in its middle, while servers have capacity. */
    @Nested
    final class AStreamThatMoves {
        // Guards against a stream that is broken off because other servers reject the rest of it.
        @Test
        void goes_on_although_more_servers_reject_it_than_it_has_sends() {
            ExecutorService callers = Executors.newSingleThreadExecutor();
            try (EntryHostHarness harness = new EntryHostHarness()) {
                harness.admissionControl = true;
                RunnerStandIn first = harness.startBackend("llm", "s1", "v1");
                harness.onLoop(() -> first.enqueueActs(Act.PAUSE_STREAM, Act.REFUSE));
                EntryHost host = harness.startReadyHost("h1", EntryHostHarness.freePort(), List.of());
                harness.awaitBackendCount(host, 1);
                CompletableFuture<String> response = CompletableFuture.supplyAsync(
                        () -> EntryHostHarness.exchange(
                                host.callerPort(),
                                EntryHostHarness.withConnectionClose(
                                        PlatformFixtures.streamRequest("s", EntryHostHarness.API_KEY)
                                                .replaceFirst("X-Deadline-Ms: [0-9]+", "X-Deadline-Ms: 20000"))),
                        callers);
                harness.await(() -> !harness.onLoop(first::receivedRequests).isEmpty());
                RunnerStandIn second = harness.startBackend("llm", "s2", "v1");
                harness.onLoop(() -> second.enqueueActs(Act.REFUSE));
                harness.await(
                        () -> harness.onLoop(() -> first.receivedRequests().size()
                                        + second.receivedRequests().size())
                                == 3);
                // Each further request adds to the retry budget.
                AtomicInteger others = new AtomicInteger();
                harness.await(() -> {
                    String _other = harness.sendStreamRequest(host, "t" + others.incrementAndGet());
                    return response.isDone();
                });
                String whole = response.join();
                assertThat(whole).startsWith("HTTP/1.1 200");
                assertThat(whole).endsWith("0\r\n\r\n");
                IntStream.rangeClosed(1, 8).forEach(event -> assertThat(whole.split("id: " + event + "\n", -1))
                        .hasLength(2));
            } finally {
                callers.shutdownNow();
            }
        }
    }
}
