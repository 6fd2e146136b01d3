package io.heatherloft.daemon.request;

/** Whether a request ran, as told to its caller in the {@code Heatherloft-Run} header. */
public enum RunStatus {
    /** It did not run and will not: no byte of it went to any backend server. */
    NOT_RUN("not-run"),
    /** It ran. */
    RAN("ran"),
    /** It may have run. */
    UNKNOWN("unknown");

    private final String headerValue;

    RunStatus(String headerValue) {
        this.headerValue = headerValue;
    }

    /** Returns the header's value. */
    public String headerValue() {
        return headerValue;
    }
}
