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
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class AdmissionHostTest {
    // The number of slots in the entries of the stand-ins.
    private static final int SLOTS = 64;

    /** A request that comes while the slots of the only server are taken. */
    @Nested
    final class ARequestBeyondTheSlots {
        private static final int LATER = 6;

        /** Returns the responses to requests that come once all slots are taken. */
        private List<String> send(Act act, int deadlineMillis) {
            ExecutorService callers = Executors.newFixedThreadPool(SLOTS + LATER);
            try (EntryHostHarness harness = new EntryHostHarness()) {
                harness.admissionControl = true;
                RunnerStandIn server = harness.startBackend("desk", "d1", "v1");
                EntryHost host = harness.startReadyHost("h1", EntryHostHarness.freePort(), List.of());
                harness.awaitBackendCount(host, 1);
                harness.onLoop(() -> IntStream.range(0, SLOTS).forEach(_index -> server.enqueueActs(act)));
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
                return responses.stream().map(CompletableFuture::join).toList();
            } finally {
                callers.shutdownNow();
            }
        }

        // Guards against a refusal of requests that need only wait for a slot.
        @Test
        void waits_for_a_slot_and_is_answered() {
            send(Act.DELAY, 2_000).forEach(response -> assertThat(response).startsWith("HTTP/1.1 200"));
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
}
