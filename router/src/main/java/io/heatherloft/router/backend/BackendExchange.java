package io.heatherloft.router.backend;

/** A request in progress on a backend server. Confined to the loop's thread. */
public interface BackendExchange {
    /** Closes the connection, so that the backend server stops work; the listener is not called again. */
    void cancel();

    /** Sets whether more of the answer is read from the connection. */
    void setAutoRead(boolean reading);
}
