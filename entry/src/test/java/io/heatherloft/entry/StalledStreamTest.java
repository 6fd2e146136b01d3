package io.heatherloft.entry;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.standins.platform.PlatformFixtures;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Streams whose server sends a byte now and then, but no event. */
final class StalledStreamTest {
    private static final int MAX_REQUESTS = 20;

    private final EntryHostHarness harness = new EntryHostHarness();

    @AfterEach
    void close() {
        harness.close();
    }

    // Requests with other shared parts go to other servers.
    private static String send(EntryHost host, int request) {
        String parts = Integer.toHexString(0xabc0 + request) + ":800";
        return EntryHostHarness.exchange(
                host.callerPort(),
                EntryHostHarness.withConnectionClose(
                        PlatformFixtures.streamRequest("r" + request, EntryHostHarness.API_KEY, parts)));
    }

    /** A server that sends one event and then single bytes. Its counters may be read by any thread. */
    private static final class DribblingServer implements AutoCloseable {
        private static final Pattern ATTEMPT_ID = Pattern.compile("(?i)x-attempt-id: *([^\r\n]+)");
        private static final long BYTE_MILLIS = 100L;

        private final ServerSocket listening;
        private final AtomicInteger requests = new AtomicInteger();

        DribblingServer() throws IOException {
            this.listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            startDaemon(this::accept);
        }

        private static void startDaemon(Runnable task) {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            thread.start();
        }

        private void accept() {
            while (!listening.isClosed()) {
                try {
                    Socket socket = listening.accept();
                    startDaemon(() -> respond(socket));
                } catch (IOException exception) {
                    System.err.println("dribbling server: " + exception.getMessage());
                }
            }
        }

        private void respond(Socket socket) {
            try (socket) {
                StringBuilder request = new StringBuilder();
                while (request.indexOf("\r\n\r\n") < 0) {
                    int next = socket.getInputStream().read();
                    if (next < 0) {
                        return;
                    }
                    request.append((char) next);
                }
                requests.incrementAndGet();
                Matcher id = ATTEMPT_ID.matcher(request);
                OutputStream output = socket.getOutputStream();
                output.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + (id.find() ? id.group(1) : "")
                                + "\r\nX-Runner-Seal: dribbling.seal\r\nX-Hint-Confidence: 90\r\n"
                                + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: token 1\n\nid: 2\ndata: ")
                        .getBytes(StandardCharsets.ISO_8859_1));
                while (true) {
                    output.write('x');
                    Thread.sleep(BYTE_MILLIS);
                }
            } catch (IOException exception) {
                System.err.println("dribbling server: " + exception.getMessage());
            } catch (InterruptedException exception) {
                throw new IllegalStateException(exception);
            }
        }

        @Override
        public void close() throws IOException {
            listening.close();
        }
    }

    @Nested
    final class AStalledStream {
        // A report of operators: stalled streams that sent a byte now and then never ended.
        @Test
        void continues_on_another_server() throws IOException {
            try (DribblingServer server = new DribblingServer()) {
                harness.registerBackend("llm", "dribbling", "v1", server.listening.getLocalPort());
                harness.startBackend("llm", "llm-1", "v1");
                EntryHost host = harness.startReadyHost("h-1", EntryHostHarness.freePort(), List.of());
                harness.awaitBackendCount(host, 2);
                for (int request = 0; request < MAX_REQUESTS && server.requests.get() == 0; request++) {
                    String response = send(host, request);
                    assertThat(response).startsWith("HTTP/1.1 200");
                    assertThat(response).contains("id: 8\n");
                    assertThat(response).endsWith("0\r\n\r\n");
                }
                assertThat(server.requests.get()).isGreaterThan(0);
            }
        }

        @Test
        void without_another_server_ends_as_incomplete_at_its_deadline() throws IOException {
            try (DribblingServer server = new DribblingServer()) {
                harness.registerBackend("llm", "dribbling", "v1", server.listening.getLocalPort());
                EntryHost host = harness.startReadyHost("h-1", EntryHostHarness.freePort(), List.of());
                harness.awaitBackendCount(host, 1);
                String response = harness.sendStreamRequest(host, "r1");
                assertThat(response).doesNotContain("id: 8\n");
                assertThat(response).doesNotContain("\r\n0\r\n\r\n");
            }
        }
    }
}
