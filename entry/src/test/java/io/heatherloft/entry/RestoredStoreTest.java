package io.heatherloft.entry;

import io.heatherloft.standins.platform.PlatformFixtures;
import io.heatherloft.standins.platform.StoreStandIn;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** A store that is restored from a copy that is older than what it had acknowledged. */
final class RestoredStoreTest {
    private final EntryHostHarness harness = new EntryHostHarness();

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

    private String lookUp(EntryHost host, String key) {
        String request = PlatformFixtures.plainRequest("GET", "/lookups/x", "r1", key);
        return EntryHostHarness.exchange(host.callerPort(), EntryHostHarness.withConnectionClose(request));
    }

    private void awaitStatus(EntryHost host, String key, int status) {
        harness.await(() -> lookUp(host, key).startsWith("HTTP/1.1 " + status));
    }

    @Nested
    final class AConfiguration {
        // Incident CONFIG: a host ignored a configuration whose revision it knew from before the store was restored.
        @Test
        @Tag("known-red")
        void is_in_force_although_its_revision_was_given_out_before() {
            harness.startBackend("desk", "d-1", "v1");
            EntryHost host = startSingleHost();
            StoreStandIn.Copy copy = harness.onLoop(harness.store::copy);
            putConfiguration(2, "k2");
            awaitStatus(host, "k2", 200);
            harness.onLoop(() -> harness.store.restore(copy));
            putConfiguration(3, "k3");
            awaitStatus(host, "k3", 200);
        }
    }
}
