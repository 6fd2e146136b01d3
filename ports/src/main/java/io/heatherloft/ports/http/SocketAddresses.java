package io.heatherloft.ports.http;

import java.net.InetSocketAddress;

/**
 * Reads addresses of the form {@code 10.1.0.40:8227}.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class SocketAddresses {
    private static final char PORT_SEPARATOR = ':';

    private SocketAddresses() {}

    /** Returns the address that a text of an IP number and a port names. */
    public static InetSocketAddress parse(String address) {
        int separator = address.lastIndexOf(PORT_SEPARATOR);
        return new InetSocketAddress(
                address.substring(0, separator), Integer.parseInt(address.substring(separator + 1)));
    }
}
