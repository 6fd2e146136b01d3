package io.heatherloft.router.backend;

/** An HTTP exchange with a backend server. Confined to the loop's thread. */
public interface BackendExchange {
    /** Closes the connection, so that the backend server stops processing. The listener is not called again. */
    void cancel();

    /** Enables or disables reading of the response from the connection, for back-pressure. */
    void setAutoRead(boolean reading);
}
