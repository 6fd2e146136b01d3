package io.heatherloft.peer;

/** Thrown when a call to another host gets no reply. The host may or may not have handled the request. */
public final class PeerUnavailableException extends Exception {
    private static final long serialVersionUID = 1L;

    public PeerUnavailableException(String address, String reason) {
        super("peer " + address + ": " + reason);
    }
}
