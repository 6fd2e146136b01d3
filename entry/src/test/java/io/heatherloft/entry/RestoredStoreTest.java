package io.heatherloft.entry;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.standins.platform.PlatformFixtures;
import io.heatherloft.standins.platform.RunnerStandIn;
import io.heatherloft.standins.platform.StoreStandIn;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A store that is restored from a copy that is older than what it had acknowledged. */
final class RestoredStoreTest {
    private final EntryHostHarness harness = new EntryHostHarness();
    private StoreStandIn.Copy copy;

    @AfterEach
    void close() {
        harness.close();
    }

    private EntryHost startSingleHost() {
        return harness.startReadyHost("entry-1", EntryHostHarness.freePort(), List.of());
    }

    private void putConfiguration(int version, String key) {
        harness.onLoop(() -> harness.store.putConfiguration(PlatformFixtures.configuration(version, key)));
    }

    /** Starts a host whose configuration in force, of the key k2, is missing from the copy. */
    private EntryHost startHostWithUncopiedConfiguration() {
        harness.startBackend("desk", "d-1", "v1");
        EntryHost host = startSingleHost();
        copy = harness.onLoop(harness.store::copy);
        putConfiguration(2, "k2");
        awaitStatus(host, "k2", 200);
        return host;
    }

    private String lookUp(EntryHost host, String key) {
        String request = PlatformFixtures.plainRequest("GET", "/lookups/x", "r1", key);
        return EntryHostHarness.exchange(host.callerPort(), EntryHostHarness.withConnectionClose(request));
    }

    private void awaitStatus(EntryHost host, String key, int status) {
        harness.await(() -> lookUp(host, key).startsWith("HTTP/1.1 " + status));
    }

    private void awaitEra(EntryHost host, int era) {
        harness.await(() -> harness.get(host.metricsPort(), "/metrics").contains("store_era " + era + ".0\n"));
    }

    private String state(String service) {
        return harness.onLoop(
                () -> harness.store.read("status/rollout/" + service).orElse(""));
    }

    @Nested
    final class AConfiguration {
        // Incident CONFIG: a host ignored a configuration whose revision it knew from before the store was restored.
        @Test
        void is_in_force_although_its_revision_was_given_out_before() {
            EntryHost host = startHostWithUncopiedConfiguration();
            harness.onLoop(() -> harness.store.restore(copy));
            putConfiguration(3, "k3");
            awaitStatus(host, "k3", 200);
        }

        // The old position of the watch is one that the store has again, so the store does not reject it.
        @Test
        void is_in_force_although_the_new_revisions_have_passed_the_old_ones() {
            EntryHost host = startHostWithUncopiedConfiguration();
            harness.onLoop(() -> {
                harness.store.setFault(StoreStandIn.Fault.REFUSING);
                harness.store.restore(copy);
                harness.store.putConfiguration(PlatformFixtures.configuration(3, "k3"));
                IntStream.range(0, 10).forEach(index -> harness.store.put("elsewhere/" + index, "x"));
                harness.store.setFault(StoreStandIn.Fault.NONE);
            });
            awaitStatus(host, "k3", 200);
        }

        @Test
        void stays_in_force_until_its_operator_writes_it_again() {
            EntryHost host = startHostWithUncopiedConfiguration();
            harness.onLoop(() -> harness.store.restore(copy));
            awaitEra(host, 2);
            assertThat(lookUp(host, "k2")).startsWith("HTTP/1.1 200");
            assertThat(lookUp(host, EntryHostHarness.API_KEY)).startsWith("HTTP/1.1 401");
        }

        @Test
        void that_the_store_has_lost_reaches_a_host_that_starts_later() {
            harness.startBackend("desk", "d-1", "v1");
            int peerPort = EntryHostHarness.freePort();
            EntryHost first = harness.startReadyHost("entry-1", peerPort, List.of());
            copy = harness.onLoop(harness.store::copy);
            putConfiguration(2, "k2");
            awaitStatus(first, "k2", 200);
            harness.onLoop(() -> harness.store.restore(copy));
            awaitEra(first, 2);
            EntryHost second = harness.startReadyHost("entry-2", EntryHostHarness.freePort(), List.of(peerPort));
            awaitStatus(second, "k2", 200);
        }

        @Test
        void that_cannot_be_read_is_not_taken_from_the_copy() {
            harness.startBackend("desk", "d-1", "v1");
            harness.onLoop(() -> harness.store.putConfiguration("[]"));
            copy = harness.onLoop(harness.store::copy);
            putConfiguration(2, "k2");
            EntryHost host = startSingleHost();
            awaitStatus(host, "k2", 200);
            harness.onLoop(() -> harness.store.restore(copy));
            awaitEra(host, 2);
            assertThat(lookUp(host, "k2")).startsWith("HTTP/1.1 200");
        }
    }

    @Nested
    final class ABackendServer {
        @Test
        void that_drains_gets_no_requests_although_the_copy_has_it_as_ready() {
            RunnerStandIn leaving = harness.startBackend("desk", "d-1", "v1");
            harness.startBackend("desk", "d-2", "v1");
            EntryHost host = startSingleHost();
            copy = harness.onLoop(harness.store::copy);
            harness.onLoop(() -> harness.store.putBackend(
                    "d-1", PlatformFixtures.backendEntry("desk", harness.backendPort("d-1"), "v1", "draining")));
            putConfiguration(2, "k2");
            awaitStatus(host, "k2", 200);
            harness.onLoop(() -> harness.store.restore(copy));
            awaitEra(host, 2);
            int receivedBefore = harness.onLoop(leaving.receivedRequests()::size);
            IntStream.range(0, 20)
                    .forEach(_index -> assertThat(lookUp(host, "k2")).startsWith("HTTP/1.1 200"));
            assertThat(harness.onLoop(leaving.receivedRequests()::size)).isEqualTo(receivedBefore);
        }

        @Test
        void that_joined_since_the_copy_stays_in_use_until_it_registers_again() {
            EntryHost host = startSingleHost();
            copy = harness.onLoop(harness.store::copy);
            harness.startBackend("desk", "d-1", "v1");
            awaitStatus(host, EntryHostHarness.API_KEY, 200);
            harness.onLoop(() -> harness.store.restore(copy));
            awaitEra(host, 2);
            assertThat(lookUp(host, EntryHostHarness.API_KEY)).startsWith("HTTP/1.1 200");
            harness.onLoop(() -> harness.store.putBackend(
                    "d-1", PlatformFixtures.backendEntry("desk", harness.backendPort("d-1"), "v1")));
            IntStream.range(0, 30).forEach(_index -> {
                assertThat(lookUp(host, EntryHostHarness.API_KEY)).startsWith("HTTP/1.1 200");
                harness.onLoop(() -> {});
            });
        }
    }

    @Nested
    final class ARollout {
        // Incident CONFIG: the state that hosts had written was lost, and its revision was expected in vain.
        @Test
        void that_has_ended_is_recorded_again() {
            harness.startBackend("desk", "d-1", "v1");
            EntryHost host = startSingleHost();
            harness.onLoop(() -> harness.store.put("op/rollout/desk", "{\"target\":\"v1\",\"duration_s\":1}"));
            harness.await(() -> state("desk").contains("running"));
            copy = harness.onLoop(harness.store::copy);
            harness.await(() -> state("desk").contains("completed"));
            harness.onLoop(() -> harness.store.restore(copy));
            assertThat(state("desk")).contains("running");
            awaitEra(host, 2);
            harness.await(() -> state("desk").contains("completed"));
        }
    }
}
