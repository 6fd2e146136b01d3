package io.heatherloft.peer;

/** A call to another host that was not answered; it may or may not have been handled. */
public final class PeerUnavailableException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception that names the host and what went wrong. */
    public PeerUnavailableException(String address, String reason) {
        super("peer " + address + ": " + reason);
    }
}
