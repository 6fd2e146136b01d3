package io.heatherloft.ports.http;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses addresses of the form {@code 10.1.0.40:8227}. Never looks up a name. Stateless and thread-safe.
 */
public final class SocketAddresses {
    private static final Pattern FORMAT =
            Pattern.compile("([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3}):([0-9]{1,5})");
    private static final int OCTETS = 4;
    private static final int MAX_OCTET = 255;
    private static final int MAX_PORT = 65_535;

    private SocketAddresses() {}

    /**
     * Parses an IPv4 address and a port that are separated by a colon.
     *
     * @throws IllegalArgumentException if the text is anything else
     */
    public static InetSocketAddress parse(String address) {
        return tryParse(address)
                .orElseThrow(() ->
                        new IllegalArgumentException("address '" + address + "': expected an IPv4 address and a port"));
    }

    /** Parses an IPv4 address and a port that are separated by a colon; returns empty if the text is anything else. */
    public static Optional<InetSocketAddress> tryParse(String address) {
        Matcher matcher = FORMAT.matcher(address);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        byte[] octets = new byte[OCTETS];
        for (int index = 0; index < OCTETS; index++) {
            int octet = Integer.parseInt(matcher.group(index + 1));
            if (octet > MAX_OCTET) {
                return Optional.empty();
            }
            octets[index] = (byte) octet;
        }
        int port = Integer.parseInt(matcher.group(OCTETS + 1));
        return port > MAX_PORT ? Optional.empty() : Optional.of(new InetSocketAddress(toInetAddress(octets), port));
    }

    /** Returns true if a connection can be opened to the address: it names one machine and a port. */
    public static boolean isConnectable(String address) {
        return tryParse(address)
                .filter(parsed -> parsed.getPort() > 0)
                .map(InetSocketAddress::getAddress)
                .filter(parsed -> !parsed.isAnyLocalAddress() && !parsed.isMulticastAddress())
                .isPresent();
    }

    private static InetAddress toInetAddress(byte[] octets) {
        try {
            return InetAddress.getByAddress(octets);
        } catch (UnknownHostException exception) {
            throw new IllegalStateException("an address of four octets is always valid", exception);
        }
    }
}
