package io.heatherloft.entry;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.standins.platform.PlatformFixtures;
import io.heatherloft.standins.platform.RunnerStandIn;
import io.heatherloft.standins.platform.RunnerStandIn.Act;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class AdmissionHostTest {
    // The number of slots in the entries of the stand-ins.
    private static final int SLOTS = 64;

    /** A request that comes while the slots of the only server are taken. */
    @Nested
    final class ARequestBeyondTheSlots {
        private static final int LATER = 6;

        /** Returns the responses to requests that come once all slots are taken; the server first answers when they wait. */
        private List<String> send(Act act, int deadlineMillis) {
            ExecutorService callers = Executors.newFixedThreadPool(SLOTS + LATER);
            try (EntryHostHarness harness = new EntryHostHarness()) {
                harness.admissionControl = true;
                RunnerStandIn server = harness.startBackend("desk", "d1", "v1");
                EntryHost host = harness.startReadyHost("h1", EntryHostHarness.freePort(), List.of());
                harness.awaitBackendCount(host, 1);
                harness.onLoop(() -> {
                    IntStream.range(0, SLOTS).forEach(_index -> server.enqueueActs(act));
                    server.setHolding(act == Act.ANSWER);
                });
                IntStream.range(0, SLOTS)
                        .forEach(index -> callers.execute(
                                () -> harness.sendPlainRequest(host, "POST", "/bookings/x", "a" + index)));
                harness.await(
                        () -> harness.get(host.metricsPort(), "/metrics").contains("requests_in_progress " + SLOTS));
                List<CompletableFuture<String>> responses = IntStream.range(0, LATER)
                        .mapToObj(index -> PlatformFixtures.plainRequest(
                                        "POST", "/bookings/x", "b" + index, EntryHostHarness.API_KEY)
                                .replaceFirst("X-Deadline-Ms: [0-9]+", "X-Deadline-Ms: " + deadlineMillis))
                        .map(EntryHostHarness::withConnectionClose)
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
            // The other requests occupy their slots for the 2 s of the route's time-out.
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
}
