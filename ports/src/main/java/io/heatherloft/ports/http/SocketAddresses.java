package io.heatherloft.ports.http;

import java.net.InetSocketAddress;

/**
 * Parses addresses of the form {@code 10.1.0.40:8227}. Stateless and thread-safe.
 */
public final class SocketAddresses {
    private static final char PORT_SEPARATOR = ':';

    private SocketAddresses() {}

    /** Parses an IP address and a port that are separated by a colon. */
    public static InetSocketAddress parse(String address) {
        int separator = address.lastIndexOf(PORT_SEPARATOR);
        return new InetSocketAddress(
                address.substring(0, separator), Integer.parseInt(address.substring(separator + 1)));
    }
}
