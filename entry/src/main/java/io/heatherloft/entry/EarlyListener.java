package io.heatherloft.entry;

import io.heatherloft.ports.http.SocketAddresses;
import io.heatherloft.router.http.CallerServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.Optional;

/**
 * Binds the callers' address before the rest of the host is loaded.
 *
 * <p>Callers that connect while the host starts wait in the accept queue instead of being refused. Immutable; the
 * channel is handed over once.
 */
final class EarlyListener {
    /** System property with the address to listen at for callers; it repeats the address in the settings. */
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

    /** Listens at the address in the system property {@link #ADDRESS_PROPERTY}, if it is set. */
    static EarlyListener fromSystemProperty() {
        return listenAt(System.getProperty(ADDRESS_PROPERTY, ""));
    }

    /**
     * Listens at the address.
     *
     * <p>If the address is empty or cannot be bound, connections are refused until the host has started.
     */
    static EarlyListener listenAt(String address) {
        if (address.isEmpty()) {
            return none();
        }
        try {
            return new EarlyListener(address, Optional.of(bind(SocketAddresses.parse(address))));
        } catch (IOException | IllegalArgumentException exception) {
            System.err.println("heatherloft-entry: cannot listen at '" + address + "' given by -D" + ADDRESS_PROPERTY
                    + " before the start: " + exception.getMessage());
            return none();
        }
    }

    private static ServerSocketChannel bind(InetSocketAddress address) throws IOException {
        ServerSocketChannel serverChannel = ServerSocketChannel.open();
        serverChannel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        return serverChannel.bind(address, CallerServer.BACKLOG);
    }

    /** Returns the channel if it listens at the configured address; otherwise closes the channel and returns empty. */
    Optional<ServerSocketChannel> takeChannel(String configuredAddress) throws IOException {
        if (channel.isPresent() && !address.equals(configuredAddress)) {
            channel.get().close();
            return Optional.empty();
        }
        return channel;
    }
}
