package io.heatherloft.ports.store;

/** Thrown when the key-value service does not respond to a read or a lease call. */
public final class StoreUnavailableException extends Exception {
    private static final long serialVersionUID = 1L;

    public StoreUnavailableException(String reason) {
        super(reason);
    }
}
