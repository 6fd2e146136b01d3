package io.heatherloft.router.backend;

/** An HTTP exchange with a backend server. Confined to the loop's thread. */
public interface BackendExchange {
    /** Returns true if the request was sent, or a part of it. */
    boolean isSent();

    /** Returns true if another host connects this one to the backend server. */
    boolean isRelayed();

    /** Returns true if the connection carried no exchange before this one. */
    boolean isFirst();

    /** Closes the connection, so that the backend server stops processing. The listener is not called again. */
    void cancel();

    /** Enables or disables reading of the response from the connection, for back-pressure. */
    void setAutoRead(boolean reading);
}
