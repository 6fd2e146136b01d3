package io.heatherloft.router.backend;

import java.util.Arrays;
import java.util.Optional;

/** First line that a host sends on a connection over which another host asks it for a connection to a backend server. */
enum RelayReply {
    /** Bytes are passed on from here. */
    CONNECTED("connected"),
    /** The server's address refuses connections. */
    REFUSED("refused"),
    /** No connection to the server could be established in time. */
    UNREACHABLE("unreachable"),
    /** This host can't tell: it does not know the server or must not use it, has no room, or is cut off itself. */
    UNAVAILABLE("unavailable");

    private final String line;

    RelayReply(String line) {
        this.line = line;
    }

    String line() {
        return line;
    }

    static Optional<RelayReply> parse(String line) {
        return Arrays.stream(values()).filter(reply -> reply.line.equals(line)).findFirst();
    }
}
