package io.heatherloft.router.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.heatherloft.domain.route.CallerLimits;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.NettyLoop;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class CallerServerTest {
    private static final int READ_TIMEOUT_MILLIS = 20_000;
    private static final long SHORT_TIMEOUT_MILLIS = 150L;
    private static final int RECEIVE_BUFFER_BYTES = 8_192;
    // More than the operating system buffers for a connection.
    private static final int LONG_RESPONSE_BYTES = 16_000_000;
    private static final long SLOW_READER_PAUSE_MILLIS = 1_500L;
    private static final int SLOW_READER_PARTS = 50;
    private static final CallerLimits LIMITS =
            new CallerLimits(1_024, 100, SHORT_TIMEOUT_MILLIS, 2 * SHORT_TIMEOUT_MILLIS);

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Loop loop = new NettyLoop(group.next());
    private final List<String> handled = new CopyOnWriteArrayList<>();
    private final List<CallerExchange> heldExchanges = new CopyOnWriteArrayList<>();
    private CallerServer server;
    private Runnable beforeLateResponse = () -> {};

    @BeforeEach
    void listen() {
        server = new CallerServer(group, loop, () -> LIMITS, this::handle, _status -> {});
        server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .join();
    }

    @AfterEach
    void close() {
        io.netty.util.concurrent.Future<?> _ended =
                group.shutdownGracefully(0, 0, java.util.concurrent.TimeUnit.MILLISECONDS);
    }

    private void handle(CallerRequest request, CallerExchange exchange) {
        handled.add(
                request.method() + " " + request.target() + " " + request.body().toText());
        if (request.path().startsWith("/hold/")) {
            heldExchanges.add(exchange);
            loop.schedule(SHORT_TIMEOUT_MILLIS, () -> {
                beforeLateResponse.run();
                respond(exchange, "late");
            });
        } else if (request.path().startsWith("/long/")) {
            respond(exchange, "x".repeat(LONG_RESPONSE_BYTES));
        } else {
            respond(exchange, request.path());
        }
    }

    private static void respond(CallerExchange exchange, String text) {
        exchange.sendResponse(200, new DefaultHttpHeaders(), Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    private void listenWith(Loop serverLoop, CallerLimits limits) {
        server = new CallerServer(group, serverLoop, () -> limits, this::handle, _status -> {});
        server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .join();
    }

    /** Connects with a receive buffer that is small compared with a long response. */
    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port()));
        return socket;
    }

    private static void write(Socket socket, String bytes) throws IOException {
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    private String send(String bytes) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    @Nested
    final class Framing {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                            + "GET /smuggled/ HTTP/1.1\r\nHost: a\r\n\r\n",
                    "POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\nGET /smuggled/",
                    "POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: +5\r\n\r\nhello",
                    "POST /a/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
                    "POST /a/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff1\r\nx",
                    "GET /a/../../b/ HTTP/1.1\r\nHost: a\r\n\r\n",
                    "GET /a/%2e%2E/b/ HTTP/1.1\r\nHost: a\r\n\r\n",
                    "GET http://a/b/ HTTP/1.1\r\nHost: a\r\n\r\n",
                    "GET /a/ HTTP/1.1\r\n\r\n",
                    "GET /a/ HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
                    "GET /a/ HTTP/1.1\r\nHost : a\r\n\r\n",
                    "no request at all\r\n\r\n"
                })
        void that_is_ambiguous_or_invalid_is_rejected_and_closes_the_connection(String bytes) throws IOException {
            String response = send(bytes);
            assertThat(response).startsWith("HTTP/1.1 400");
            assertThat(response.split("HTTP/1.1", -1)).hasLength(2);
            assertThat(handled).isEmpty();
        }

        @Test
        void by_chunks_yields_the_complete_body() throws IOException {
            send("POST /a/ HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
            assertThat(handled).containsExactly("POST /a/ abcde");
        }
    }

    @Nested
    final class Limits {
        @Test
        void on_the_header_size_are_enforced() throws IOException {
            String response = send("GET /a/ HTTP/1.1\r\nHost: a\r\nX-Long: " + "x".repeat(2_000) + "\r\n\r\n");
            assertThat(response).startsWith("HTTP/1.1 431");
        }

        @Test
        void on_the_body_size_are_enforced_with_and_without_a_content_length() throws IOException {
            assertThat(send("POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n"))
                    .startsWith("HTTP/1.1 413");
            assertThat(send("POST /a/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + "x".repeat(101)
                            + "\r\n0\r\n\r\n"))
                    .startsWith("HTTP/1.1 413");
            assertThat(handled).isEmpty();
        }

        @Test
        void on_the_header_time_end_an_incomplete_request() throws IOException {
            assertThat(send("GET /a/ HTTP/1.1\r\nHost:")).startsWith("HTTP/1.1 408");
        }

        @Test
        void on_the_body_time_end_an_incomplete_request() throws IOException {
            assertThat(send("POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc"))
                    .startsWith("HTTP/1.1 408");
        }

        @Test
        void on_idle_time_close_an_idle_connection_without_a_response() throws IOException {
            assertThat(send("")).isEmpty();
        }
    }

    @Nested
    final class AConnection {
        @Test
        void answers_pipelined_requests_in_order() throws IOException {
            String response = send("GET /hold/1 HTTP/1.1\r\nHost: a\r\n\r\n" + "GET /second HTTP/1.1\r\nHost: a\r\n"
                    + "Connection: close\r\n\r\n");
            assertThat(response.indexOf("late")).isLessThan(response.indexOf("/second"));
            assertThat(response.split("HTTP/1.1 200", -1)).hasLength(3);
        }

        @Test
        void ends_the_exchange_when_the_caller_disconnects_during_a_request() throws IOException {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
                socket.getOutputStream()
                        .write("GET /hold/1 HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                while (heldExchanges.isEmpty()) {
                    Thread.onSpinWait();
                }
            }
            while (!heldExchanges.get(0).hasEnded()) {
                Thread.onSpinWait();
            }
        }

        @Test
        void is_closed_after_the_response_once_the_server_drains() throws IOException {
            loop.execute(server::drain);
            assertThat(send("GET /a/ HTTP/1.1\r\nHost: a\r\n\r\n")).contains("connection: close");
        }

        @Test
        void that_is_aborted_does_not_end_the_stream_as_complete() throws IOException {
            CallerServer abortingServer = new CallerServer(
                    group,
                    loop,
                    () -> LIMITS,
                    (_request, exchange) -> {
                        exchange.startStream(200, new DefaultHttpHeaders());
                        exchange.sendChunk(Unpooled.copiedBuffer("part", StandardCharsets.UTF_8));
                        exchange.abort();
                    },
                    _status -> {});
            abortingServer
                    .listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .join();
            server = abortingServer;
            assertThat(send("GET /a/ HTTP/1.1\r\nHost: a\r\n\r\n")).doesNotContain("0\r\n\r\n");
        }
    }

    @Nested
    final class APipelinedRequest {
        // A request that arrived between the end of a response and the start of the next request overtook that
        // request, which was dropped (review/2).
        @Test
        void is_not_overtaken_by_one_that_arrives_while_it_is_started() throws IOException {
            Loop slowToExecute = new Loop() {
                @Override
                public long nowMillis() {
                    return loop.nowMillis();
                }

                @Override
                public void execute(Runnable task) {
                    loop.schedule(SHORT_TIMEOUT_MILLIS, task);
                }

                @Override
                public Cancellation schedule(long delayMillis, Runnable task) {
                    return loop.schedule(delayMillis, task);
                }
            };
            listenWith(slowToExecute, CallerLimits.DEFAULT);
            try (Socket socket = connect()) {
                write(socket, "GET /hold/1 HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n\r\n");
                byte[] first = socket.getInputStream().readNBytes(1);
                write(socket, "GET /third HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
                assertThat(first).hasLength(1);
                String response = readAll(socket);
                assertThat(response.indexOf("/second")).isAtLeast(0);
                assertThat(response.indexOf("/second")).isLessThan(response.indexOf("/third"));
            }
        }

        // Between two pipelined requests the connection looked idle, and a stop closed it.
        @Test
        void is_answered_although_idle_connections_are_closed_while_it_is_started() throws IOException {
            beforeLateResponse = () -> loop.execute(server::closeIdleConnections);
            assertThat(send("GET /hold/1 HTTP/1.1\r\nHost: a\r\n\r\n"
                            + "GET /second HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"))
                    .contains("/second");
        }

        // The first response closed the connection of a server that drains, and requests read after it were dropped.
        @Test
        void is_answered_by_a_server_that_drains() throws IOException {
            beforeLateResponse = server::drain;
            String response = send("GET /hold/1 HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n\r\n");
            assertThat(response).contains("/second");
            assertThat(response.split("connection: close", -1)).hasLength(2);
        }
    }

    @Nested
    final class ALongResponse {
        // Closing a connection drops what the socket has not taken.
        @Test
        void reaches_a_slow_reader_although_idle_connections_are_closed() throws IOException {
            listenWith(loop, CallerLimits.DEFAULT);
            try (Socket socket = connect()) {
                write(socket, "GET /long/ HTTP/1.1\r\nHost: a\r\n\r\n");
                byte[] first = socket.getInputStream().readNBytes(1);
                CompletableFuture<Void> closed = new CompletableFuture<>();
                loop.execute(() -> {
                    server.closeIdleConnections();
                    closed.complete(null);
                });
                closed.join();
                byte[] rest = socket.getInputStream().readNBytes(LONG_RESPONSE_BYTES);
                assertThat(first.length + rest.length).isAtLeast(LONG_RESPONSE_BYTES);
            }
        }

        // The connection was closed one second after the end of its last response, although the caller still read it.
        @Test
        void reaches_a_slow_reader_as_the_last_response_of_its_connection() throws Exception {
            listenWith(loop, CallerLimits.DEFAULT);
            try (Socket socket = connect()) {
                write(socket, "GET /long/ HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
                byte[] first = socket.getInputStream().readNBytes(1);
                Thread.sleep(SLOW_READER_PAUSE_MILLIS);
                int rest = socket.getInputStream().readAllBytes().length;
                assertThat(first.length + rest).isAtLeast(LONG_RESPONSE_BYTES);
            }
        }

        // The idle timeout counted from the end of the response, not from when the caller had taken it.
        @Test
        void reaches_a_caller_that_reads_for_longer_than_the_idle_timeout() throws Exception {
            listenWith(loop, new CallerLimits(1_024, 100, SLOW_READER_PAUSE_MILLIS, SLOW_READER_PAUSE_MILLIS));
            try (Socket socket = connect()) {
                write(socket, "GET /long/ HTTP/1.1\r\nHost: a\r\n\r\n");
                int received = 0;
                for (int part = 0; part < SLOW_READER_PARTS; part++) {
                    received += socket.getInputStream().readNBytes(LONG_RESPONSE_BYTES / SLOW_READER_PARTS).length;
                    Thread.sleep(2 * SLOW_READER_PAUSE_MILLIS / SLOW_READER_PARTS);
                }
                assertThat(received).isEqualTo(LONG_RESPONSE_BYTES / SLOW_READER_PARTS * SLOW_READER_PARTS);
            }
        }

        // A caller that reads nothing must not hold a connection for ever.
        @Test
        void is_given_up_when_its_caller_reads_nothing_for_the_idle_timeout() throws IOException {
            try (Socket socket = connect()) {
                write(socket, "GET /long/ HTTP/1.1\r\nHost: a\r\n\r\n");
                while (handled.isEmpty()
                        || CompletableFuture.supplyAsync(server::connectionCount, loop::execute)
                                        .join()
                                > 0) {
                    Thread.onSpinWait();
                }
            }
        }
    }

    @Nested
    final class ARequestThatCrossesTheClose {
        // A request that was read after the last response and dropped could have been run, as far as its caller knew.
        @Test
        void stays_unread() throws IOException {
            try (Socket socket = connect()) {
                write(socket, "GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
                assertThat(readAll(socket)).contains("/last");
                // More than the operating system buffers for a connection, so it can be sent only if it is read.
                assertThrows(
                        IOException.class,
                        () -> write(
                                socket,
                                "POST /crossing HTTP/1.1\r\nHost: a\r\nContent-Length: " + LONG_RESPONSE_BYTES
                                        + "\r\n\r\n" + "x".repeat(LONG_RESPONSE_BYTES)));
            }
            assertThat(handled).hasSize(1);
        }
    }
}
