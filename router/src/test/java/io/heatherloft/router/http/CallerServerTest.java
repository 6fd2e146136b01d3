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
    private static final int READ_LIMIT_MILLIS = 20_000;
    private static final long SHORT_MILLIS = 150L;
    private static final CallerLimits LIMITS = new CallerLimits(1_024, 100, SHORT_MILLIS, 2 * SHORT_MILLIS);

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Loop loop = new NettyLoop(group.next());
    private final List<String> handled = new CopyOnWriteArrayList<>();
    private final List<CallerExchange> held = new CopyOnWriteArrayList<>();
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
            held.add(exchange);
            loop.schedule(SHORT_MILLIS, () -> answer(exchange, "late"));
        } else {
            answer(exchange, request.path());
        }
    }

    private static void answer(CallerExchange exchange, String text) {
        exchange.sendResponse(200, new DefaultHttpHeaders(), Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    private String send(String bytes) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            socket.setSoTimeout(READ_LIMIT_MILLIS);
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
        void that_can_be_read_in_two_ways_is_rejected_and_ends_the_connection(String bytes) throws IOException {
            String answer = send(bytes);
            assertThat(answer).startsWith("HTTP/1.1 400");
            assertThat(answer.split("HTTP/1.1", -1)).hasLength(2);
            assertThat(handled).isEmpty();
        }

        @Test
        void by_chunks_gives_the_whole_body() throws IOException {
            send("POST /a/ HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
            assertThat(handled).containsExactly("POST /a/ abcde");
        }
    }

    @Nested
    final class Limits {
        @Test
        void on_the_header_are_kept() throws IOException {
            String answer = send("GET /a/ HTTP/1.1\r\nHost: a\r\nX-Long: " + "x".repeat(2_000) + "\r\n\r\n");
            assertThat(answer).startsWith("HTTP/1.1 431");
        }

        @Test
        void on_the_body_are_kept_for_a_stated_and_an_unstated_length() throws IOException {
            assertThat(send("POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n"))
                    .startsWith("HTTP/1.1 413");
            assertThat(send("POST /a/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + "x".repeat(101)
                            + "\r\n0\r\n\r\n"))
                    .startsWith("HTTP/1.1 413");
            assertThat(handled).isEmpty();
        }

        @Test
        void on_the_time_of_a_header_end_a_half_sent_request() throws IOException {
            assertThat(send("GET /a/ HTTP/1.1\r\nHost:")).startsWith("HTTP/1.1 408");
        }

        @Test
        void on_the_time_of_a_body_end_a_half_sent_request() throws IOException {
            assertThat(send("POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc"))
                    .startsWith("HTTP/1.1 408");
        }

        @Test
        void on_idle_time_close_a_silent_connection_without_an_answer() throws IOException {
            assertThat(send("")).isEmpty();
        }
    }

    @Nested
    final class AConnection {
        @Test
        void answers_requests_sent_ahead_in_their_order() throws IOException {
            String answer = send("GET /hold/1 HTTP/1.1\r\nHost: a\r\n\r\n" + "GET /second HTTP/1.1\r\nHost: a\r\n"
                    + "Connection: close\r\n\r\n");
            assertThat(answer.indexOf("late")).isLessThan(answer.indexOf("/second"));
            assertThat(answer.split("HTTP/1.1 200", -1)).hasLength(3);
        }

        @Test
        void tells_that_its_caller_has_left_while_a_request_is_in_progress() throws IOException {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
                socket.getOutputStream()
                        .write("GET /hold/1 HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                while (held.isEmpty()) {
                    Thread.onSpinWait();
                }
            }
            while (!held.get(0).hasEnded()) {
                Thread.onSpinWait();
            }
        }

        @Test
        void closes_after_the_answer_once_the_host_drains() throws IOException {
            loop.execute(server::drain);
            assertThat(send("GET /a/ HTTP/1.1\r\nHost: a\r\n\r\n")).contains("connection: close");
        }

        @Test
        void cut_short_does_not_look_complete() throws IOException {
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
