package io.heatherloft.router.http;

import static com.google.common.truth.Truth.assertThat;

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
    private static final CallerLimits LIMITS = new CallerLimits(1_024, 100, SHORT_TIMEOUT_MILLIS, 2 * SHORT_TIMEOUT_MILLIS);

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Loop loop = new NettyLoop(group.next());
    private final List<String> handled = new CopyOnWriteArrayList<>();
    private final List<CallerExchange> heldExchanges = new CopyOnWriteArrayList<>();
    private CallerServer server;

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
            loop.schedule(SHORT_TIMEOUT_MILLIS, () -> respond(exchange, "late"));
        } else {
            respond(exchange, request.path());
        }
    }

    private static void respond(CallerExchange exchange, String text) {
        exchange.sendResponse(200, new DefaultHttpHeaders(), Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
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
            String answer = send(bytes);
            assertThat(answer).startsWith("HTTP/1.1 400");
            assertThat(answer.split("HTTP/1.1", -1)).hasLength(2);
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
            String answer = send("GET /a/ HTTP/1.1\r\nHost: a\r\nX-Long: " + "x".repeat(2_000) + "\r\n\r\n");
            assertThat(answer).startsWith("HTTP/1.1 431");
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
            String answer = send("GET /hold/1 HTTP/1.1\r\nHost: a\r\n\r\n" + "GET /second HTTP/1.1\r\nHost: a\r\n"
                    + "Connection: close\r\n\r\n");
            assertThat(answer.indexOf("late")).isLessThan(answer.indexOf("/second"));
            assertThat(answer.split("HTTP/1.1 200", -1)).hasLength(3);
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
            CallerServer cutting = new CallerServer(
                    group,
                    loop,
                    () -> LIMITS,
                    (_request, exchange) -> {
                        exchange.startStream(200, new DefaultHttpHeaders());
                        exchange.sendChunk(Unpooled.copiedBuffer("part", StandardCharsets.UTF_8));
                        exchange.abort();
                    },
                    _status -> {});
            cutting.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .join();
            server = cutting;
            assertThat(send("GET /a/ HTTP/1.1\r\nHost: a\r\n\r\n")).doesNotContain("0\r\n\r\n");
        }
    }
}
