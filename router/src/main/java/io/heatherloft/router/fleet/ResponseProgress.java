package io.heatherloft.router.fleet;

import java.util.OptionalLong;

/**
 * Progress of a backend server's response, for the comparison of versions.
 *
 * <p>Implementations are confined to the loop's thread.
 */
public interface ResponseProgress {
    /** Returns the version that runs the request. */
    String version();

    /** Returns the kind of response; responses of a kind have comparable times. */
    String kind();

    /** Returns the time at which the request was sent, by the loop's clock. */
    long sentAtMillis();

    /** Returns the number of events received; 0 for a response that is not a stream. */
    long receivedEvents();

    /** Returns the time from the request to the first event; empty if none has been received. */
    OptionalLong firstEventMillis();

    /** Returns true if nothing has been received for so long that the request would be retried elsewhere. */
    boolean isStalled();
}
