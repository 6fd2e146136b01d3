package io.heatherloft.router.fleet;

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
}
