package io.heatherloft.entry;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.standins.platform.PlatformFixtures;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Hosts whose list of backend servers holds entries that another writer left. */
final class OddEntryTest {
    private final EntryHostHarness harness = new EntryHostHarness();
    private int requests;

    @AfterEach
    void close() {
        harness.close();
    }

    private static String deskEntry(String address, String extra) {
        return "{\"service\":\"desk\",\"address\":\"" + address + "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":64,"
                + "\"state\":\"ready\",\"seq\":1" + extra + '}';
    }

    private void putOddEntries() {
        String deep = "[".repeat(900) + "]".repeat(900);
        harness.onLoop(() -> {
            harness.store.put("servers/a", deskEntry("127.0.0.1:99999", ""));
            harness.store.put("servers/b", deskEntry("127.0.0.1:0", ""));
            harness.store.put("servers/c", deskEntry("999.0.0.1:80", ""));
            harness.store.put("servers/d-1a", deskEntry("127.0.0.1:1", ",\"models\":" + deep));
            harness.store.put("servers/e", deep);
            harness.store.put("servers/f", deskEntry("127.0.0.1:1", ",\"born\":" + "9".repeat(300)));
            harness.store.put("servers/x\ny", deskEntry("127.0.0.1:1", ""));
            harness.store.put("op/rollout/desk", "{\"target\":\"v2\",\"duration_s\":1e300}");
        });
    }

    private void serves(EntryHost host) {
        for (int request = 0; request < 12; request++) {
            requests++;
            assertThat(harness.sendPlainRequest(host, "POST", "/bookings/x", "r" + requests))
                    .startsWith("HTTP/1.1 200");
        }
    }

    @Nested
    final class AHost {
        @Test
        void that_starts_with_odd_entries_uses_the_others() {
            putOddEntries();
            harness.startBackend("desk", "d-1", "v1");
            EntryHost host = harness.startReadyHost("h-1", EntryHostHarness.freePort(), List.of());
            harness.awaitBackendCount(host, 1);
            serves(host);
        }

        @Test
        void follows_the_others_after_odd_entries_were_written() {
            harness.startBackend("desk", "d-1", "v1");
            EntryHost host = harness.startReadyHost("h-1", EntryHostHarness.freePort(), List.of());
            putOddEntries();
            harness.startBackend("desk", "d-2", "v1");
            harness.awaitBackendCount(host, 2);
            serves(host);
        }

        @Test
        void that_learns_of_odd_entries_from_another_host_uses_the_others() {
            harness.startBackend("desk", "d-1", "v1");
            int peerPort = EntryHostHarness.freePort();
            EntryHost first = harness.startReadyHost("h-1", peerPort, List.of());
            putOddEntries();
            EntryHost second = harness.startReadyHost("h-2", EntryHostHarness.freePort(), List.of(peerPort));
            harness.startBackend("desk", "d-2", "v1");
            harness.awaitBackendCount(first, 2);
            harness.awaitBackendCount(second, 2);
            serves(first);
            serves(second);
        }

        @Test
        void leaves_a_server_whose_entry_was_overwritten() {
            harness.startBackend("desk", "d-1", "v1");
            harness.startBackend("desk", "d-2", "v1");
            EntryHost host = harness.startReadyHost("h-1", EntryHostHarness.freePort(), List.of());
            harness.awaitBackendCount(host, 2);
            harness.onLoop(() -> harness.store.put("servers/d-1", "[[[[]]]]"));
            harness.await(() ->
                    harness.sendPlainRequest(host, "GET", "/lookups/x", "probe").contains("answer of d-2"));
            harness.onLoop(() -> harness.store.put(
                    "servers/d-3", PlatformFixtures.backendEntry("desk", harness.backendPort("d-2"), "v1")));
            harness.awaitBackendCount(host, 3);
            for (int request = 0; request < 10; request++) {
                assertThat(harness.sendPlainRequest(host, "GET", "/lookups/x", "l" + request))
                        .doesNotContain("answer of d-1");
            }
        }
    }
}
