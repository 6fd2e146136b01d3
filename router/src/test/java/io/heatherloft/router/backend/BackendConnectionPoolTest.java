package io.heatherloft.router.backend;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.NettyLoop;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The test servers write raw bytes, since HTTP libraries do not produce malformed responses. */
final class BackendConnectionPoolTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Attempt-Id: mine\r\nKeep-Alive: timeout=5\r\n";
    private static final long RESPONSE_LIMIT_SECONDS = 20;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Loop loop = new NettyLoop(group.next());
    private final BackendConnectionPool pool = new BackendConnectionPool(group, loop, ConnectionPoolSettings.DEFAULT);
    private final AtomicInteger accepted = new AtomicInteger();

    @AfterEach
    void close() {
        io.netty.util.concurrent.Future<?> _ended =
                group.shutdownGracefully(0, 0, java.util.concurrent.TimeUnit.MILLISECONDS);
    }

    /** Server side of a connection; connections are served one after another and numbered from 1. */
    @FunctionalInterface
    private interface ServerScript {
        void serve(Socket socket, int number) throws IOException;
    }

    private BackendEndpoint server(ServerScript script) throws IOException {
        ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(() -> {
            while (true) {
                try {
                    Socket socket = listening.accept();
                    script.serve(socket, accepted.incrementAndGet());
                } catch (IOException exception) {
                    System.err.println("test server: " + exception.getMessage());
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
        return new BackendEndpoint("b", "127.0.0.1:" + listening.getLocalPort());
    }

    private static void readRequest(Socket socket) throws IOException {
        InputStream input = socket.getInputStream();
        StringBuilder seen = new StringBuilder();
        while (seen.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                throw new IOException("connection closed before the end of the request headers");
            }
            seen.append((char) next);
        }
    }

    private static void write(Socket socket, String bytes) throws IOException {
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    private String send(BackendEndpoint endpoint) {
        return send(
                endpoint,
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER),
                new RecordingListener());
    }

    private String send(BackendEndpoint endpoint, FullHttpRequest request, RecordingListener recorder) {
        loop.execute(() -> {
            BackendExchange _exchange = pool.send(endpoint, request, recorder);
        });
        return recorder.outcome
                .orTimeout(RESPONSE_LIMIT_SECONDS, java.util.concurrent.TimeUnit.SECONDS)
                .join();
    }

    private static final class RecordingListener implements ResponseListener {
        private final CompletableFuture<String> outcome = new CompletableFuture<>();
        private final CountDownLatch contentReceived = new CountDownLatch(1);
        private final StringBuilder body = new StringBuilder();

        @Override
        public boolean onHeaders(int _status, HttpHeaders headers) {
            return headers.get("X-Attempt-Id", "mine").equals("mine");
        }

        @Override
        public void onContent(ByteBuf chunk) {
            body.append(chunk.toString(StandardCharsets.ISO_8859_1));
            contentReceived.countDown();
        }

        @Override
        public void onComplete() {
            outcome.complete("complete: " + body);
        }

        @Override
        public void onFailure(ExchangeFailure failure) {
            outcome.complete(failure.kind().name());
        }
    }

    @Nested
    final class AnExchange {
        // A server in a zone that was evacuated while it ran a request kept an idle connection from then on.
        @Test
        void with_a_server_that_may_keep_none_closes_its_connection() throws IOException {
            AtomicBoolean usable = new AtomicBoolean();
            BackendEndpoint endpoint = server((socket, _number) -> {
                while (true) {
                    readRequest(socket);
                    usable.set(false);
                    write(socket, HEAD + "Content-Length: 0\r\n\r\n");
                }
            });
            pool.useOnly(_endpoint -> usable.get());
            for (int sent = 0; sent < 2; sent++) {
                usable.set(true);
                assertThat(send(endpoint)).isEqualTo("complete: ");
            }
            assertThat(pool.opened()).isEqualTo(2);
        }

        // A connect can take seconds, in which a zone is evacuated; the request was sent as soon as it succeeded.
        @Test
        void that_waits_for_its_connection_is_not_sent_to_a_server_that_may_no_longer_be_used() throws IOException {
            AtomicInteger received = new AtomicInteger();
            BackendEndpoint endpoint = server((socket, _number) -> {
                readRequest(socket);
                received.incrementAndGet();
            });
            pool.useOnly(other -> !other.equals(endpoint));
            assertThat(send(endpoint)).isEqualTo("NOT_SENT");
            assertThat(received.get()).isEqualTo(0);
        }
    }

    @Nested
    final class AResponse {
        @Test
        void without_a_length_is_complete_when_its_connection_is_closed() throws IOException {
            BackendEndpoint endpoint = server((socket, _number) -> {
                readRequest(socket);
                write(socket, HEAD + "\r\nbody");
                socket.close();
            });
            assertThat(send(endpoint)).isEqualTo("complete: body");
        }

        @Test
        void without_a_length_is_broken_when_its_connection_is_reset() throws IOException {
            BackendEndpoint endpoint = server((socket, _number) -> {
                readRequest(socket);
                write(socket, HEAD + "\r\nbody");
                socket.setSoLinger(true, 0);
                socket.close();
            });
            assertThat(send(endpoint)).isEqualTo("BROKEN");
        }

        @Test
        void shorter_than_its_length_is_broken() throws IOException {
            BackendEndpoint endpoint = server((socket, _number) -> {
                readRequest(socket);
                write(socket, HEAD + "Content-Length: 10\r\n\r\nbody");
                socket.close();
            });
            assertThat(send(endpoint)).isEqualTo("BROKEN");
        }

        @Test
        void that_cannot_be_parsed_is_broken() throws IOException {
            BackendEndpoint endpoint = server((socket, _number) -> {
                readRequest(socket);
                write(socket, "what is this\r\n\r\n");
            });
            assertThat(send(endpoint)).isEqualTo("BROKEN");
        }

        @Test
        void to_another_request_is_discarded_and_the_next_one_awaited() throws IOException {
            BackendEndpoint endpoint = server((socket, _number) -> {
                readRequest(socket);
                write(socket, "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 3\r\n\r\nold");
                write(socket, HEAD + "Content-Length: 3\r\n\r\nnew");
            });
            assertThat(send(endpoint)).isEqualTo("complete: new");
        }

        @Test
        void that_never_arrives_is_broken_when_the_connection_closes() throws IOException {
            BackendEndpoint endpoint = server((socket, _number) -> {
                readRequest(socket);
                socket.close();
            });
            assertThat(send(endpoint)).isEqualTo("BROKEN");
        }
    }

    /** Responses whose server breaks off after a number of bytes, at each place that is not the end. */
    @Nested
    final class ACutResponse {
        private static final String CHUNKS = "3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\nX-Trailer: 1\r\n\r\n";

        // Connections are numbered from 1, so the first one gets no byte of the response.
        private BackendEndpoint serverCutting(String response, boolean reset) throws IOException {
            return server((socket, number) -> {
                readRequest(socket);
                write(socket, response.substring(0, number - 1));
                socket.setSoLinger(reset, 0);
                socket.close();
            });
        }

        private void checkBroken(String response, int cuts, boolean reset) throws IOException {
            BackendEndpoint endpoint = serverCutting(response, reset);
            for (int cut = 0; cut < cuts; cut++) {
                assertWithMessage("%s bytes of %s", cut, response)
                        .that(send(endpoint))
                        .isEqualTo("BROKEN");
            }
            assertThat(accepted.get()).isEqualTo(cuts);
        }

        @ParameterizedTest
        @ValueSource(booleans = {false, true})
        void with_a_length_is_broken(boolean reset) throws IOException {
            String response = HEAD + "Content-Length: 4\r\n\r\nbody";
            checkBroken(response, response.length(), reset);
        }

        @ParameterizedTest
        @ValueSource(booleans = {false, true})
        void in_chunks_is_broken(boolean reset) throws IOException {
            String response = HEAD + "Transfer-Encoding: chunked\r\n\r\n" + CHUNKS;
            checkBroken(response, response.length(), reset);
        }

        // Its end cannot be told from a cut in its body, except by a reset.
        @ParameterizedTest
        @ValueSource(booleans = {false, true})
        void without_a_length_is_broken(boolean reset) throws IOException {
            String head = HEAD + "\r\n";
            checkBroken(head + "body", reset ? (head + "body").length() + 1 : head.length(), reset);
        }

        @ParameterizedTest
        @ValueSource(booleans = {false, true})
        void after_an_informational_one_is_broken(boolean reset) throws IOException {
            String response = "HTTP/1.1 103 Early Hints\r\nX-Note: 1\r\n\r\n" + HEAD + "Content-Length: 0\r\n\r\n";
            checkBroken(response, response.length(), reset);
        }
    }

    /** Responses to a request whose body the server has not read yet. */
    @Nested
    final class AnEarlyResponse {
        private static final int UPLOAD_BYTES = 32 * 1024 * 1024;
        private static final long POLL_MILLIS = 20L;

        private final RecordingListener recorder = new RecordingListener();

        // Waits until the caller has the first part and the rest of the body waits in its buffers.
        private void respondEarly(Socket socket, String part) throws IOException {
            readRequest(socket);
            write(socket, part);
            try {
                recorder.contentReceived.await();
                int unread = -1;
                while (socket.getInputStream().available() > unread) {
                    unread = socket.getInputStream().available();
                    Thread.sleep(POLL_MILLIS);
                }
            } catch (InterruptedException exception) {
                throw new IOException(exception);
            }
        }

        private String upload(BackendEndpoint endpoint) {
            FullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, HttpMethod.POST, "/", Unpooled.wrappedBuffer(new byte[UPLOAD_BYTES]));
            HttpUtil.setContentLength(request, UPLOAD_BYTES);
            return send(endpoint, request, recorder);
        }

        @Test
        void without_a_length_is_broken_when_its_connection_is_reset_during_the_upload() throws IOException {
            assertThat(upload(server((socket, _number) -> {
                        respondEarly(socket, HEAD + "\r\nfirst half");
                        socket.setSoLinger(true, 0);
                        socket.close();
                    })))
                    .isEqualTo("BROKEN");
        }

        // The system resets a connection that is closed with unread bytes, at times after an end in order.
        @Test
        void without_a_length_is_broken_when_its_connection_is_closed_during_the_upload() throws IOException {
            assertThat(upload(server((socket, _number) -> {
                        respondEarly(socket, HEAD + "\r\nfirst half");
                        socket.close();
                    })))
                    .isEqualTo("BROKEN");
        }

        @Test
        void without_a_length_is_broken_when_it_ends_in_order_before_a_reset_during_the_upload() throws IOException {
            assertThat(upload(server((socket, _number) -> {
                        respondEarly(socket, HEAD + "\r\nfirst half");
                        socket.shutdownOutput();
                        socket.setSoLinger(true, 0);
                        socket.close();
                    })))
                    .isEqualTo("BROKEN");
        }

        @Test
        void without_a_length_is_complete_when_it_ends_after_the_upload() throws IOException {
            assertThat(upload(server((socket, _number) -> {
                        respondEarly(socket, HEAD + "\r\nfirst half");
                        socket.getInputStream().skipNBytes(UPLOAD_BYTES);
                        write(socket, " second half");
                        socket.close();
                    })))
                    .isEqualTo("complete: first half second half");
        }

        @Test
        void with_a_length_lets_no_other_request_follow_before_the_upload_has_ended() throws IOException {
            CompletableFuture<Long> uploadedSum = new CompletableFuture<>();
            CountDownLatch mayReadOn = new CountDownLatch(1);
            BackendEndpoint endpoint = server((socket, _number) -> {
                respondEarly(socket, HEAD + "Content-Length: 5\r\n\r\nearly");
                try {
                    mayReadOn.await();
                } catch (InterruptedException exception) {
                    throw new IOException(exception);
                }
                byte[] uploaded = socket.getInputStream().readNBytes(UPLOAD_BYTES);
                long sum = uploaded.length;
                for (byte octet : uploaded) {
                    sum += octet;
                }
                uploadedSum.complete(sum);
            });
            assertThat(upload(endpoint)).isEqualTo("complete: early");
            RecordingListener other = new RecordingListener();
            loop.execute(() -> {
                BackendExchange _exchange = pool.send(
                        endpoint,
                        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER),
                        other);
                mayReadOn.countDown();
            });
            assertThat(uploadedSum
                            .orTimeout(RESPONSE_LIMIT_SECONDS, java.util.concurrent.TimeUnit.SECONDS)
                            .join())
                    .isEqualTo(UPLOAD_BYTES);
            assertThat(pool.opened()).isEqualTo(2);
        }
    }

    /** A status that HTTP does not define makes bytes that are no response. */
    @Nested
    final class AStatus {
        // A status below 200 was skipped as an informational response, and one above 599 passed on.
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "000", "0", "00", "099", "600", "999", "1000", "2000", "20", "-200", "+200", "0200", "abc", "2x0",
                    "101"
                })
        void that_is_undefined_is_broken(String status) throws IOException {
            BackendEndpoint endpoint = server((socket, _number) -> {
                readRequest(socket);
                write(socket, HEAD.replace("200 OK", status + " Odd") + "Content-Length: 0\r\n\r\n");
            });
            assertThat(send(endpoint)).isEqualTo("BROKEN");
        }

        @Test
        void that_is_undefined_is_broken_whatever_follows() throws IOException {
            BackendEndpoint endpoint = server((socket, _number) -> {
                readRequest(socket);
                write(socket, "HTTP/1.1 000 Odd\r\n\r\n" + HEAD + "Content-Length: 2\r\n\r\nok");
            });
            assertThat(send(endpoint)).isEqualTo("BROKEN");
        }

        @ParameterizedTest
        @ValueSource(strings = {"100", "102", "103", "199"})
        void that_is_informational_is_skipped(String status) throws IOException {
            BackendEndpoint endpoint = server((socket, _number) -> {
                readRequest(socket);
                write(socket, "HTTP/1.1 " + status + " Note\r\n\r\n" + HEAD + "Content-Length: 2\r\n\r\nok");
            });
            assertThat(send(endpoint)).isEqualTo("complete: ok");
        }

        @ParameterizedTest
        @ValueSource(strings = {"200", "200 ", "299 Odd", "404 Not Found", "599 Odd"})
        void that_is_final_is_passed_on(String status) throws IOException {
            BackendEndpoint endpoint = server((socket, _number) -> {
                readRequest(socket);
                write(socket, HEAD.replace("200 OK", status) + "Content-Length: 2\r\n\r\nok");
            });
            assertThat(send(endpoint)).isEqualTo("complete: ok");
        }
    }

    /** Bytes that a server in trouble sends without end, until the connection is closed. */
    @Nested
    final class AnEndlessResponse {
        private static final int MAX_SENT_BYTES = 64 * 1024 * 1024;

        private final AtomicLong sentBytes = new AtomicLong();

        private BackendEndpoint serverOf(String start, String repeated) throws IOException {
            String block = repeated.repeat(1 + 8_192 / repeated.length());
            return server((socket, _number) -> {
                readRequest(socket);
                write(socket, start);
                while (sentBytes.get() < MAX_SENT_BYTES) {
                    write(socket, block);
                    sentBytes.addAndGet(block.length());
                }
                socket.close();
            });
        }

        @ParameterizedTest
        @ValueSource(strings = {"", "HTTP/1.1 200 OK\r\nX-Attempt-Id: ", "HTTP/1.1 200 "})
        void of_one_line_in_the_head_is_broken(String start) throws IOException {
            assertThat(send(serverOf(start, "x"))).isEqualTo("BROKEN");
            assertThat(sentBytes.get()).isLessThan((long) MAX_SENT_BYTES);
        }

        @Test
        void of_header_lines_is_broken() throws IOException {
            assertThat(send(serverOf("HTTP/1.1 200 OK\r\n", "X-A: b\r\n"))).isEqualTo("BROKEN");
            assertThat(sentBytes.get()).isLessThan((long) MAX_SENT_BYTES);
        }

        @Test
        void of_blank_lines_is_broken() throws IOException {
            assertThat(send(serverOf("", "\r\n"))).isEqualTo("BROKEN");
            assertThat(sentBytes.get()).isLessThan((long) MAX_SENT_BYTES);
        }

        @Test
        void of_informational_responses_is_broken() throws IOException {
            assertThat(send(serverOf("", "HTTP/1.1 100 Continue\r\n\r\n"))).isEqualTo("BROKEN");
            assertThat(sentBytes.get()).isLessThan((long) MAX_SENT_BYTES);
        }

        @Test
        void of_trailers_is_broken() throws IOException {
            String start = HEAD + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n";
            assertThat(send(serverOf(start, "X-A: b\r\n"))).isEqualTo("BROKEN");
            assertThat(sentBytes.get()).isLessThan((long) MAX_SENT_BYTES);
        }

        @Test
        void of_a_chunk_extension_is_broken() throws IOException {
            String start = HEAD + "Transfer-Encoding: chunked\r\n\r\n3;";
            assertThat(send(serverOf(start, "x"))).isEqualTo("BROKEN");
            assertThat(sentBytes.get()).isLessThan((long) MAX_SENT_BYTES);
        }

        @Test
        void to_another_request_is_broken() throws IOException {
            assertThat(send(serverOf("HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n\r\n", "x")))
                    .isEqualTo("BROKEN");
            assertThat(sentBytes.get()).isLessThan((long) MAX_SENT_BYTES);
        }
    }

    @Nested
    final class AConnection {
        @Test
        void is_reused_after_a_framed_response() throws IOException {
            BackendEndpoint endpoint = server((socket, _number) -> {
                for (int responses = 0; responses < 2; responses++) {
                    readRequest(socket);
                    write(socket, HEAD + "Content-Length: 2\r\n\r\nok");
                }
            });
            assertThat(send(endpoint)).isEqualTo("complete: ok");
            assertThat(send(endpoint)).isEqualTo("complete: ok");
            assertThat(accepted.get()).isEqualTo(1);
        }

        @Test
        void is_not_reused_after_unsolicited_data() throws IOException {
            BackendEndpoint endpoint = server((socket, _number) -> {
                readRequest(socket);
                write(socket, HEAD + "Content-Length: 2\r\n\r\nok" + HEAD + "Content-Length: 5\r\n\r\nextra");
            });
            assertThat(send(endpoint)).isEqualTo("complete: ok");
            while (accepted.get() == 1) {
                assertThat(send(endpoint)).isEqualTo("complete: ok");
            }
            assertThat(accepted.get()).isEqualTo(2);
        }

        @Test
        void is_not_reused_after_a_connection_close_header() throws IOException {
            BackendEndpoint endpoint = server((socket, _number) -> {
                readRequest(socket);
                write(socket, HEAD + "Connection: close\r\nContent-Length: 2\r\n\r\nok");
            });
            assertThat(send(endpoint)).isEqualTo("complete: ok");
            assertThat(send(endpoint)).isEqualTo("complete: ok");
            assertThat(accepted.get()).isEqualTo(2);
        }

        @Test
        void that_cannot_be_opened_leaves_the_request_not_sent() throws IOException {
            ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            closed.close();
            assertThat(send(new BackendEndpoint("b", "127.0.0.1:" + closed.getLocalPort())))
                    .isEqualTo("NOT_SENT");
        }
    }

    /** Hosts that may not send a failed server requests would otherwise never learn that it is up again. */
    @Nested
    final class ACheckWithoutARequest {
        @Test
        void tells_of_a_server_that_accepts_connections_and_not_of_one_that_refuses_them() throws IOException {
            BackendEndpoint up = server((socket, _number) -> socket.close());
            BackendEndpoint down;
            try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                down = new BackendEndpoint("c", "127.0.0.1:" + closed.getLocalPort());
            }
            CompletableFuture<String> first = new CompletableFuture<>();
            loop.execute(() -> {
                pool.checkConnectable(down, () -> first.complete("down"));
                loop.schedule(200, () -> pool.checkConnectable(up, () -> first.complete("up")));
            });
            assertThat(first.join()).isEqualTo("up");
        }
    }
}
