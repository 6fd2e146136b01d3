package io.heatherloft.router.backend;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.heatherloft.router.VirtualLoop;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.DefaultEventLoopGroup;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against review case 1 (TWICE): a part of an earlier response, sent once more, became the beginning of the response to
 * the next request.
 */
final class JoinedResponseTest {
    private static final String EARLIER = "earlier";
    private static final String NEXT = "next";

    private final EventLoopGroup group = new DefaultEventLoopGroup(1);
    private final VirtualLoop loop = new VirtualLoop();
    private final BackendConnectionPool pool = new BackendConnectionPool(group, loop, ConnectionPoolSettings.DEFAULT);

    @AfterEach
    void close() {
        io.netty.util.concurrent.Future<?> _ended = group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /** A kind of response. */
    private enum Kind {
        REFUSAL("503 Service Unavailable", "X-Not-Executed: 1\r\nContent-Length: 0\r\n", ""),
        REFUSAL_WITH_BODY("429 Too Many Requests", "X-Not-Executed: 1\r\nContent-Length: 4\r\n", "full"),
        SUCCESS("200 OK", "X-Runner-Seal: a.seal\r\nContent-Length: 6\r\n", "booked"),
        CHUNKED("200 OK", "X-Runner-Seal: a.seal\r\nTransfer-Encoding: chunked\r\n", "5\r\nabcde\r\n0\r\n\r\n"),
        FAILURE("500 Internal Server Error", "X-Runner-Seal: a.seal\r\nContent-Length: 3\r\n", "bad");

        private final String status;
        private final String fields;
        private final String body;

        Kind(String status, String fields, String body) {
            this.status = status;
            this.fields = fields;
            this.body = body;
        }

        String to(String id) {
            return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + id + "\r\nKeep-Alive: timeout=5\r\n" + fields + "\r\n"
                    + body;
        }
    }

    /** Records the response to one request; like an attempt, it takes only responses that bear its ID. */
    private static final class Recorder implements ResponseListener {
        private final String id;
        private final StringBuilder body = new StringBuilder();
        private String head = "";
        private Optional<String> outcome = Optional.empty();

        Recorder(String id) {
            this.id = id;
        }

        @Override
        public boolean onHeaders(int status, HttpHeaders headers) {
            if (!headers.get("X-Attempt-Id", "").equals(id)) {
                return false;
            }
            head = status + (headers.contains("X-Not-Executed") ? " not executed " : " ");
            return true;
        }

        @Override
        public void onContent(ByteBuf chunk) {
            body.append(chunk.toString(StandardCharsets.ISO_8859_1));
        }

        @Override
        public void onComplete() {
            outcome = Optional.of(head + body);
        }

        @Override
        public void onFailure(ExchangeFailure failure) {
            outcome = Optional.of(failure.kind().name());
        }
    }

    private static FullHttpRequest request(HttpMethod method) {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/", Unpooled.EMPTY_BUFFER);
    }

    private static void receive(EmbeddedChannel channel, String bytes) {
        if (channel.isOpen()) {
            channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
        }
    }

    /** A connection whose first exchange is in progress. */
    private final class Connection {
        private final BackendConnection connection = new BackendConnection(
                pool, loop, ConnectionPoolSettings.DEFAULT, new BackendEndpoint("b", "127.0.0.1:1"));
        private final EmbeddedChannel channel = new EmbeddedChannel();
        private final Recorder first = new Recorder(EARLIER);

        Connection() {
            this(HttpMethod.GET);
        }

        Connection(HttpMethod method) {
            BackendExchange _exchange = connection.startExchange(request(method), first);
            BackendConnectionPool.join(connection, channel);
        }

        /** Sends the next request, if the connection is still in the pool. */
        Optional<Recorder> sendNext() {
            if (!connection.isUsable()) {
                return Optional.empty();
            }
            Recorder recorder = new Recorder(NEXT);
            BackendExchange _exchange = connection.startExchange(request(HttpMethod.GET), recorder);
            return Optional.of(recorder);
        }

        void end() {
            channel.releaseOutbound();
            boolean _unread = channel.finishAndReleaseAll();
        }
    }

    /** Returns the outcome of a response that is received alone. */
    private String outcomeOf(Kind kind) {
        Connection alone = new Connection();
        receive(alone.channel, kind.to(EARLIER));
        alone.end();
        return alone.first.outcome.orElseThrow();
    }

    private static List<String> beginningsOf(String response) {
        return IntStream.rangeClosed(1, response.length())
                .mapToObj(length -> response.substring(0, length))
                .toList();
    }

    @Nested
    final class ACutCopy {
        @ParameterizedTest
        @EnumSource(Kind.class)
        void that_comes_with_the_response_closes_the_connection(Kind kind) {
            for (String copy : beginningsOf(kind.to(EARLIER))) {
                Connection kept = new Connection();
                receive(kept.channel, kind.to(EARLIER) + copy);
                assertWithMessage("copy of %s bytes", copy.length())
                        .that(kept.connection.isUsable())
                        .isFalse();
                assertThat(kept.first.outcome).hasValue(outcomeOf(kind));
                kept.end();
            }
        }

        @ParameterizedTest
        @EnumSource(Kind.class)
        void that_comes_on_an_idle_connection_closes_it(Kind kind) {
            for (String copy : beginningsOf(kind.to(EARLIER))) {
                Connection kept = new Connection();
                receive(kept.channel, kind.to(EARLIER));
                assertThat(kept.connection.isUsable()).isTrue();
                receive(kept.channel, copy);
                assertWithMessage("copy of %s bytes", copy.length())
                        .that(kept.connection.isUsable())
                        .isFalse();
                kept.end();
            }
        }

        // Nothing tells such bytes apart by the time of their arrival.
        @ParameterizedTest
        @EnumSource(Kind.class)
        void that_comes_after_the_next_request_changes_no_response(Kind kind) {
            for (Kind nextKind : Kind.values()) {
                List<String> accepted = List.of(outcomeOf(nextKind), "BROKEN");
                for (String copy : beginningsOf(kind.to(EARLIER))) {
                    Connection kept = new Connection();
                    receive(kept.channel, kind.to(EARLIER));
                    Recorder next = kept.sendNext().orElseThrow();
                    receive(kept.channel, copy);
                    receive(kept.channel, nextKind.to(NEXT));
                    next.outcome.ifPresent(outcome -> assertWithMessage("%s after %s bytes", nextKind, copy.length())
                            .that(outcome)
                            .isIn(accepted));
                    kept.end();
                }
            }
        }

        @Test
        void of_an_informational_response_changes_no_response() {
            String informational = "HTTP/1.1 100 Continue\r\nX-Note: 1\r\n\r\n";
            for (String copy : beginningsOf(informational)) {
                Connection kept = new Connection();
                receive(kept.channel, copy);
                receive(kept.channel, Kind.SUCCESS.to(EARLIER));
                kept.first.outcome.ifPresent(outcome -> assertWithMessage("after %s bytes", copy.length())
                        .that(outcome)
                        .isIn(List.of("200 booked", "BROKEN")));
                kept.end();
            }
        }
    }

    @Nested
    final class AConnection {
        @ParameterizedTest
        @EnumSource(Kind.class)
        void stays_usable_after_a_response_in_pieces(Kind kind) {
            Connection kept = new Connection();
            kind.to(EARLIER).chars().forEach(next -> receive(kept.channel, String.valueOf((char) next)));
            assertThat(kept.first.outcome).hasValue(outcomeOf(kind));
            Recorder next = kept.sendNext().orElseThrow();
            receive(kept.channel, kind.to(NEXT));
            assertThat(next.outcome).hasValue(outcomeOf(kind));
            kept.end();
        }

        @Test
        void reads_no_body_after_the_head_of_a_response_to_head() {
            Connection kept = new Connection(HttpMethod.HEAD);
            String response = Kind.SUCCESS.to(EARLIER);
            receive(kept.channel, response.substring(0, response.length() - "booked".length()));
            assertThat(kept.first.outcome).hasValue("200 ");
            assertThat(kept.connection.isUsable()).isTrue();
            kept.end();
        }
    }
}
