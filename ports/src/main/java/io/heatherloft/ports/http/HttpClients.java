package io.heatherloft.ports.http;

import io.activej.dns.DnsClient;
import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import io.activej.reactor.nio.NioReactor;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Makes HTTP clients with the timeouts of this system.
 *
 * <p>Every service is named by an IP number, so no name is ever looked up. Stateless; the clients are confined to the
 * loop's thread.
 */
public final class HttpClients {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration KEEP_ALIVE_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration READ_WRITE_TIMEOUT = Duration.ofSeconds(60);
    private static final int DNS_PORT = 53;

    private HttpClients() {}

    /** Returns a client that keeps idle connections open for later calls. */
    public static HttpClient withKeepAlive(NioReactor reactor) {
        return builder(reactor).withKeepAliveTimeout(KEEP_ALIVE_TIMEOUT).build();
    }

    /** Returns a client that opens a connection for each call, so that a failure to connect proves nothing ran. */
    public static HttpClient withoutKeepAlive(NioReactor reactor) {
        return builder(reactor).withNoKeepAlive().build();
    }

    /** Returns true if no connection could be made for {@code request}, so that none of it was sent. */
    public static boolean failedToConnect(HttpRequest request) {
        return request.getAttachment(ConnectFailure.class) != null;
    }

    private static HttpClient.Builder builder(NioReactor reactor) {
        DnsClient dns = DnsClient.create(reactor, new InetSocketAddress(InetAddress.getLoopbackAddress(), DNS_PORT));
        return HttpClient.builder(reactor, dns)
                .withConnectTimeout(CONNECT_TIMEOUT)
                .withReadWriteTimeout(READ_WRITE_TIMEOUT)
                .withInspector(new ConnectFailureMarker());
    }

    private static final class ConnectFailure {}

    private static final class ConnectFailureMarker extends HttpClient.JmxInspector {
        @Override
        public void onConnectError(HttpRequest request, InetSocketAddress address, Exception cause) {
            super.onConnectError(request, address, cause);
            request.attach(ConnectFailure.class, new ConnectFailure());
        }
    }
}
