package io.heatherloft.router.backend;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.heatherloft.ports.http.SocketAddresses;
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
import io.netty.util.CharsetUtil;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A host that cannot reach a backend server, and another host through which it does. */
final class RelayTest {
    // No length: the response ends with its connection.
    private static final String UNFRAMED = "HTTP/1.1 200 OK\r\nX-Attempt-Id: mine\r\n\r\nfirst half";

    private static final long RESPONSE_LIMIT_SECONDS = 20;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Loop loop = new NettyLoop(group.next());
    private BackendConnectionPool pool;
    private BackendEndpoint endpoint;
    private List<String> relays = List.of();

    @BeforeEach
    void createPool() {
        pool = new BackendConnectionPool(group, loop, ConnectionPoolSettings.DEFAULT, RelayTest::unreachableAddress);
        loop.execute(() -> pool.useOtherHosts(() -> relays, _lost -> {}));
    }

    @AfterEach
    void close() {
        io.netty.util.concurrent.Future<?> _ended = group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private static InetSocketAddress unreachableAddress(String _address) {
        return SocketAddresses.parse("127.0.0.1:" + closedPort());
    }

    private static int closedPort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** What a test server does with a connection. */
    @FunctionalInterface
    private interface Script {
        void serve(Socket socket) throws IOException;
    }

    private static String listen(Script script) {
        return listen(script, OptionalInt.empty());
    }

    private static String listen(Script script, OptionalInt receiveBufferBytes) {
        try {
            ServerSocket listening = new ServerSocket();
            if (receiveBufferBytes.isPresent()) {
                listening.setReceiveBufferSize(receiveBufferBytes.getAsInt());
            }
            listening.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
            Thread thread = new Thread(() -> {
                while (true) {
                    try (Socket socket = listening.accept()) {
                        script.serve(socket);
                    } catch (IOException exception) {
                        System.err.println("test server: " + exception.getMessage());
                    }
                }
            });
            thread.setDaemon(true);
            thread.start();
            return "127.0.0.1:" + listening.getLocalPort();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private static void readUntil(Socket socket, String end) throws IOException {
        StringBuilder seen = new StringBuilder();
        while (seen.indexOf(end) < 0) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("connection closed after '" + seen + "'");
            }
            seen.append((char) next);
        }
    }

    /** A host that connects others to the server, as one in the fleet does. */
    private String relayHost() {
        BackendConnectionPool other = new BackendConnectionPool(group, loop, ConnectionPoolSettings.DEFAULT);
        return other.newRelayServer(known -> known.equals(endpoint))
                .listen("127.0.0.1", 0)
                .join();
    }

    private static String relayThatReplies(String reply) {
        return listen(socket -> {
            readUntil(socket, "\n");
            socket.getOutputStream().write((reply + "\n").getBytes(StandardCharsets.US_ASCII));
        });
    }

    private CompletableFuture<String> send() {
        return send(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"), () -> {});
    }

    /** Sends a request and returns the body of the response, or the failure. */
    private CompletableFuture<String> send(FullHttpRequest request, Runnable onContent) {
        CompletableFuture<String> result = new CompletableFuture<>();
        StringBuilder body = new StringBuilder();
        loop.execute(() -> {
            BackendExchange _exchange = pool.send(endpoint, request, new ResponseListener() {
                @Override
                public boolean onHeaders(int _status, HttpHeaders _headers) {
                    return true;
                }

                @Override
                public void onContent(ByteBuf part) {
                    body.append(part.toString(CharsetUtil.US_ASCII));
                    onContent.run();
                }

                @Override
                public void onComplete() {
                    result.complete(body.toString());
                }

                @Override
                public void onFailure(ExchangeFailure failure) {
                    result.complete(
                            failure.kind() + " refused " + failure.refused() + " confirmed " + failure.confirmed());
                }
            });
        });
        return result.orTimeout(RESPONSE_LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    private static void sendFramed(Socket socket, String text) throws IOException {
        DataOutputStream output = new DataOutputStream(socket.getOutputStream());
        output.writeInt(text.length());
        output.writeBytes(text);
    }

    @Nested
    final class AResponse {
        @Test
        void arrives_through_another_host() {
            endpoint = new BackendEndpoint("b", listen(socket -> {
                readUntil(socket, "\r\n\r\n");
                socket.getOutputStream()
                        .write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello".getBytes(StandardCharsets.US_ASCII));
            }));
            relays = List.of(relayHost());
            assertThat(send().join()).isEqualTo("hello");
            assertThat(pool.relayed()).isEqualTo(1);
        }

        @Test
        void that_ends_with_the_servers_connection_is_complete() {
            endpoint = new BackendEndpoint("b", listen(socket -> {
                readUntil(socket, "\r\n\r\n");
                socket.getOutputStream().write(UNFRAMED.getBytes(StandardCharsets.US_ASCII));
            }));
            relays = List.of(relayHost());
            assertThat(send().join()).isEqualTo("first half");
        }

        // A host that dies closes its connections as if the server had ended the response.
        @Test
        void that_ends_with_the_other_hosts_connection_is_not_complete() {
            endpoint = new BackendEndpoint("b", "127.0.0.1:" + closedPort());
            relays = List.of(listen(socket -> {
                readUntil(socket, "\n");
                socket.getOutputStream().write("connected\n".getBytes(StandardCharsets.US_ASCII));
                readUntil(socket, "\r\n\r\n");
                sendFramed(socket, UNFRAMED);
            }));
            assertThat(send().join()).isEqualTo("BROKEN refused false confirmed false");
        }
    }

    /** Responses without a length to a request whose body the server has not read yet. */
    @Nested
    final class AnEarlyResponse {
        private static final int UPLOAD_BYTES = 32 * 1024 * 1024;
        private static final int SMALL_BUFFER_BYTES = 4 * 1024;
        private static final int SMALL_UPLOAD_STEP_BYTES = 512 * 1024;
        private static final int MAX_SMALL_UPLOAD_BYTES = 6 * 1024 * 1024;
        private static final long POLL_MILLIS = 20L;

        private volatile CountDownLatch received = new CountDownLatch(1);

        // Waits until the caller has the first part and the body waits in the buffers of the hosts.
        private void respondEarly(Socket socket) throws IOException {
            readUntil(socket, "\r\n\r\n");
            socket.getOutputStream().write(UNFRAMED.getBytes(StandardCharsets.US_ASCII));
            try {
                received.await();
                int unread = -1;
                while (socket.getInputStream().available() > unread) {
                    unread = socket.getInputStream().available();
                    Thread.sleep(POLL_MILLIS);
                }
            } catch (InterruptedException exception) {
                throw new IOException(exception);
            }
        }

        private String upload() {
            return upload(UPLOAD_BYTES);
        }

        private String upload(int bytes) {
            received = new CountDownLatch(1);
            FullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, HttpMethod.POST, "/", Unpooled.wrappedBuffer(new byte[bytes]));
            HttpUtil.setContentLength(request, bytes);
            return send(request, () -> received.countDown()).join();
        }

        // The other host reported a write that failed because of the reset as an end in order: a part was passed on as
        // whole.
        @Test
        void whose_connection_is_reset_while_the_other_host_writes_is_not_complete() {
            endpoint = new BackendEndpoint(
                    "b",
                    listen(
                            socket -> {
                                respondEarly(socket);
                                socket.setSoLinger(true, 0);
                            },
                            OptionalInt.of(SMALL_BUFFER_BYTES)));
            relays = List.of(relayHost());
            for (int bytes = 0; bytes < MAX_SMALL_UPLOAD_BYTES; bytes += SMALL_UPLOAD_STEP_BYTES) {
                String outcome = upload(bytes);
                assertWithMessage("upload of %s bytes", bytes)
                        .that(outcome)
                        .isEqualTo("BROKEN refused false confirmed false");
            }
        }

        @Test
        void whose_connection_is_reset_during_the_upload_is_not_complete() {
            endpoint = new BackendEndpoint("b", listen(socket -> {
                respondEarly(socket);
                socket.setSoLinger(true, 0);
            }));
            relays = List.of(relayHost());
            assertThat(upload()).isEqualTo("BROKEN refused false confirmed false");
        }

        // The system resets a connection that is closed with unread bytes, at times after an end in order.
        @Test
        void whose_connection_is_closed_during_the_upload_is_not_complete() {
            endpoint = new BackendEndpoint("b", listen(this::respondEarly));
            relays = List.of(relayHost());
            assertThat(upload()).isEqualTo("BROKEN refused false confirmed false");
        }

        @Test
        void that_ends_in_order_before_a_reset_during_the_upload_is_not_complete() {
            endpoint = new BackendEndpoint("b", listen(socket -> {
                respondEarly(socket);
                socket.shutdownOutput();
                socket.setSoLinger(true, 0);
            }));
            relays = List.of(relayHost());
            assertThat(upload()).isEqualTo("BROKEN refused false confirmed false");
        }

        @Test
        void that_ends_after_the_upload_is_complete() {
            AtomicLong uploadedBytes = new AtomicLong();
            endpoint = new BackendEndpoint("b", listen(socket -> {
                respondEarly(socket);
                uploadedBytes.set(socket.getInputStream().readNBytes(UPLOAD_BYTES).length);
            }));
            relays = List.of(relayHost());
            assertThat(upload()).isEqualTo("first half");
            assertThat(uploadedBytes.get()).isEqualTo(UPLOAD_BYTES);
        }
    }

    @Nested
    final class AServerThatIsDown {
        @Test
        void is_known_to_be_down_when_other_hosts_are_refused_too() {
            endpoint = new BackendEndpoint("b", "127.0.0.1:" + closedPort());
            relays = List.of(relayHost(), relayHost());
            assertThat(send().join()).isEqualTo("NOT_SENT refused true confirmed true");
        }

        @Test
        void is_not_accused_when_no_other_host_can_tell() {
            endpoint = new BackendEndpoint("b", "127.0.0.1:" + closedPort());
            relays = List.of(relayThatReplies("unavailable"), relayThatReplies("unavailable"));
            assertThat(send().join()).isEqualTo("NOT_SENT refused false confirmed false");
        }

        @Test
        void is_connected_by_its_registered_address_only() {
            String address = listen(socket -> readUntil(socket, "\r\n\r\n"));
            endpoint = new BackendEndpoint("registered", address);
            BackendEndpoint registered = endpoint;
            endpoint = new BackendEndpoint("unknown", address);
            relays = List.of(new BackendConnectionPool(group, loop, ConnectionPoolSettings.DEFAULT)
                    .newRelayServer(registered::equals)
                    .listen("127.0.0.1", 0)
                    .join());
            assertThat(send().join()).isEqualTo("NOT_SENT refused false confirmed false");
        }
    }
}
