package io.heatherloft.entry;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.standins.platform.ClosingServerStandIn;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses of a backend server that end with their connection, beside a server that delimits its responses. */
final class ClosingServerTest {
    private static final int EVENTS = 8;
    // A request reaches each of two servers of equal load within a few tries.
    private static final int MAX_REQUESTS = 20;

    private final EntryHostHarness harness = new EntryHostHarness();

    @AfterEach
    void close() {
        harness.close();
    }

    private static String events(int count) {
        return IntStream.rangeClosed(1, count)
                .mapToObj(event -> "id: " + event + "\ndata: token " + event + "\n\n")
                .collect(Collectors.joining());
    }

    // Sends requests until the server has received one, and checks that each response is whole.
    private void checkResponses(String body) {
        checkResponses(new ClosingServerStandIn(body));
    }

    private void checkResponses(ClosingServerStandIn closing) {
        try (ClosingServerStandIn server = closing) {
            harness.registerBackend("llm", "closing", "v1", server.port());
            harness.startBackend("llm", "llm-1", "v1");
            EntryHost host = harness.startReadyHost("h-1", EntryHostHarness.freePort(), List.of());
            harness.awaitBackendCount(host, 2);
            for (int request = 0; request < MAX_REQUESTS && server.requests() == 0; request++) {
                String response = harness.sendStreamRequest(host, "r" + request);
                assertThat(response).startsWith("HTTP/1.1 200");
                assertThat(response).contains("id: " + EVENTS + "\n");
                assertThat(response.trim()).endsWith("\r\n0");
            }
            assertThat(server.requests()).isGreaterThan(0);
        }
    }

    @Nested
    final class AStreamThatEndsWithItsConnection {
        @Test
        void after_an_event_is_complete() {
            checkResponses(events(EVENTS));
        }

        @Test
        void inside_an_event_continues_on_another_server() {
            checkResponses(events(3) + "id: 4\nda");
        }

        // A server that crashed after the headers of such a response looked as if it had sent an empty stream.
        @Test
        void before_its_first_event_continues_on_another_server() {
            checkResponses("");
        }
    }

    /** Bytes that end with their connection and are no response in the protocol. */
    @Nested
    final class BytesThatAreNoResponse {
        private static final String FIELDS = "Content-Length: 6\r\n";

        /** What is sent instead of a whole response with a body of six bytes. */
        private enum Cut {
            BEFORE_THE_STATUS("HTTP/1.1 "),
            AFTER_THE_STATUS("HTTP/1.1 200"),
            AFTER_THE_STATUS_LINE("HTTP/1.1 200 OK\r\n"),
            IN_A_HEADER_LINE("X-Runner-Seal: clos"),
            AFTER_A_HEADER_LINE("X-Runner-Seal: closing.seal\r\n"),
            BEFORE_THE_EMPTY_LINE(FIELDS),
            IN_THE_EMPTY_LINE(FIELDS + "\r"),
            BEFORE_THE_BODY(FIELDS + "\r\n"),
            IN_THE_BODY("book");

            private final String end;

            Cut(String end) {
                this.end = end;
            }

            String responseTo(String id) {
                String whole = ClosingServerStandIn.head("200 OK", id, FIELDS) + "booked";
                return whole.substring(0, whole.indexOf(end) + end.length());
            }
        }

        private static String withStatus(String status, String id) {
            return ClosingServerStandIn.head(status + " Odd", id, FIELDS) + "booked";
        }

        private void checkBookingFails(ClosingServerStandIn closing) {
            try (ClosingServerStandIn server = closing) {
                harness.registerBackend("desk", "closing", "v1", server.port());
                EntryHost host = harness.startReadyHost("h-1", EntryHostHarness.freePort(), List.of());
                harness.awaitBackendCount(host, 1);
                assertThat(harness.sendPlainRequest(host, "POST", "/bookings/1", "b1"))
                        .startsWith("HTTP/1.1 502 ");
                assertThat(server.requests()).isEqualTo(1);
            }
        }

        @ParameterizedTest
        @EnumSource(Cut.class)
        void because_they_are_cut_fail_a_plain_request(Cut cut) {
            checkBookingFails(new ClosingServerStandIn(cut::responseTo));
        }

        @ParameterizedTest
        @EnumSource(Cut.class)
        void because_they_are_cut_continue_a_stream_on_another_server(Cut cut) {
            checkResponses(new ClosingServerStandIn(cut::responseTo));
        }

        // Callers got a status above 599 as the response to their request.
        @ParameterizedTest
        @ValueSource(strings = {"000", "099", "600", "999", "2000"})
        void because_of_their_status_fail_a_plain_request(String status) {
            checkBookingFails(new ClosingServerStandIn(id -> withStatus(status, id)));
        }

        @ParameterizedTest
        @ValueSource(strings = {"000", "099", "600", "999", "2000"})
        void because_of_their_status_continue_a_stream_on_another_server(String status) {
            checkResponses(new ClosingServerStandIn(id -> withStatus(status, id)));
        }
    }
}
