package io.heatherloft.ports.store;

/** A read, or a call on a lease, that the key-value service did not answer. */
public final class StoreUnavailableException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with the reason the call was not answered. */
    public StoreUnavailableException(String reason) {
        super(reason);
    }
}
