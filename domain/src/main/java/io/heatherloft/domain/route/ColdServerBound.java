package io.heatherloft.domain.route;

/**
 * Bound on the requests that all hosts together may send a cold backend server in any second: {@code factor} times the rate that
 * the server withstands, plus {@code allowance} requests.
 *
 * <p>Immutable and thread-safe.
 */
public record ColdServerBound(double factor, double allowance) {
    /** Returns the number of requests that a server may get in a second. */
    public double requestsInSecond(double requestsPerSecond) {
        return requestsPerSecond * factor + allowance;
    }
}
