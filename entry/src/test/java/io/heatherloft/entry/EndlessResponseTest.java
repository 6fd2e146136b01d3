package io.heatherloft.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Responses of backend servers in trouble that never end. */
final class EndlessResponseTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nX-Runner-Seal: d-1.seal\r\n";
    private static final String NOT_EXECUTED = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n";

    private final EntryHostHarness harness = new EntryHostHarness();

    @AfterEach
    void close() {
        harness.close();
    }

    private EntryHost startHost(int backends) {
        EntryHost host = harness.startReadyHost("entry-1", EntryHostHarness.freePort(), List.of());
        harness.awaitBackendCount(host, backends);
        return host;
    }

    private static void assertClosedEarly(EndlessServer server) {
        assertThat(server.mostSentBytes()).isLessThan(EndlessServer.MAX_SENT_BYTES);
    }

    @Nested
    final class ABody {
        // A body without end filled the memory of the host.
        @Test
        void of_a_plain_response_is_given_up_and_an_idempotent_request_retried() {
            try (EndlessServer endless = new EndlessServer(OK, "x")) {
                harness.registerBackend("desk", "d-1", "v1", endless.port());
                harness.startBackend("desk", "d-2", "v1");
                EntryHost host = startHost(2);
                for (int request = 0; request < 10; request++) {
                    assertThat(harness.sendPlainRequest(host, "GET", "/lookups/x", "r" + request))
                            .contains("answer of d-2");
                }
                assertThat(endless.requests()).isAtLeast(1);
                assertClosedEarly(endless);
            }
        }

        @Test
        void of_a_response_to_a_request_that_runs_at_most_once_ends_it_with_502() {
            try (EndlessServer endless = new EndlessServer(OK, "x")) {
                harness.registerBackend("desk", "d-1", "v1", endless.port());
                EntryHost host = startHost(1);
                assertThat(harness.sendPlainRequest(host, "POST", "/bookings/x", "r1"))
                        .startsWith("HTTP/1.1 502");
                assertClosedEarly(endless);
            }
        }

        // The rejection was seen only once its body had ended, so the request waited until its deadline.
        @Test
        void of_a_rejection_does_not_delay_the_next_attempt() {
            try (EndlessServer endless = new EndlessServer(NOT_EXECUTED, "x")) {
                harness.registerBackend("desk", "d-1", "v1", endless.port());
                harness.startBackend("desk", "d-2", "v1");
                EntryHost host = startHost(2);
                for (int request = 0; request < 10; request++) {
                    assertThat(harness.sendPlainRequest(host, "POST", "/bookings/x", "r" + request))
                            .contains("answer of d-2");
                }
                assertThat(endless.requests()).isAtLeast(1);
                assertClosedEarly(endless);
            }
        }

        @Test
        void that_is_one_event_of_a_stream_is_given_up_and_the_stream_resumed() {
            try (EndlessServer endless = new EndlessServer(OK + "Content-Type: text/event-stream\r\n", "x")) {
                harness.registerBackend("llm", "i-1", "v1", endless.port());
                harness.startBackend("llm", "i-2", "v1");
                EntryHost host = startHost(2);
                for (int request = 0; request < 10; request++) {
                    String response = harness.sendStreamRequest(host, "r" + request);
                    assertThat(response).contains("data: token 8");
                    assertThat(response).endsWith("0\r\n\r\n");
                }
                assertThat(endless.requests()).isAtLeast(1);
                assertClosedEarly(endless);
            }
        }
    }
}
