package io.heatherloft.router.backend;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.ports.http.SocketAddresses;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.NettyLoop;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
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
        try {
            ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
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

    /** Sends a request and returns the body of the response, or the failure. */
    private CompletableFuture<String> send() {
        CompletableFuture<String> result = new CompletableFuture<>();
        StringBuilder body = new StringBuilder();
        loop.execute(() -> {
            BackendExchange _exchange = pool.send(
                    endpoint,
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                    new ResponseListener() {
                        @Override
                        public boolean onHeaders(int _status, HttpHeaders _headers) {
                            return true;
                        }

                        @Override
                        public void onContent(ByteBuf part) {
                            body.append(part.toString(CharsetUtil.US_ASCII));
                        }

                        @Override
                        public void onComplete() {
                            result.complete(body.toString());
                        }

                        @Override
                        public void onFailure(ExchangeFailure failure) {
                            result.complete(failure.kind() + " refused " + failure.refused() + " confirmed "
                                    + failure.confirmed());
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
