package io.heatherloft.entry;

import io.heatherloft.ports.http.SocketAddresses;
import io.heatherloft.router.http.CallerServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.Optional;

/**
 * Listens for callers before anything else is loaded, so that those who arrive during a start wait for it instead of
 * being turned away.
 *
 * <p>Immutable; the channel is handed over once.
 */
final class EarlyListener {
    /** System property with the callers' address, which the settings state as well. */
    static final String ADDRESS_PROPERTY = "heatherloft.listen";

    private final String address;
    private final Optional<ServerSocketChannel> channel;

    private EarlyListener(String address, Optional<ServerSocketChannel> channel) {
        this.address = address;
        this.channel = channel;
    }

    /** Returns a listener that does not listen. */
    static EarlyListener none() {
        return new EarlyListener("", Optional.empty());
    }

    /** Listens at the address of the system property, if there is one. */
    static EarlyListener fromSystemProperty() {
        return listenAt(System.getProperty(ADDRESS_PROPERTY, ""));
    }

    /** Listens at an address; if that fails, or there is none, callers are turned away until the host has started. */
    static EarlyListener listenAt(String address) {
        if (address.isEmpty()) {
            return none();
        }
        try {
            return new EarlyListener(address, Optional.of(bind(SocketAddresses.parse(address))));
        } catch (IOException | IllegalArgumentException exception) {
            System.err.println("heatherloft-entry: cannot listen early at '" + address + "' of -D" + ADDRESS_PROPERTY
                    + ": " + exception.getMessage());
            return none();
        }
    }

    private static ServerSocketChannel bind(InetSocketAddress address) throws IOException {
        ServerSocketChannel listening = ServerSocketChannel.open();
        listening.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        return listening.bind(address, CallerServer.BACKLOG);
    }

    /** Returns the channel if it listens at an address; otherwise closes it. */
    Optional<ServerSocketChannel> takeChannel(String wanted) throws IOException {
        if (channel.isPresent() && !address.equals(wanted)) {
            channel.get().close();
            return Optional.empty();
        }
        return channel;
    }
}
