package io.heatherloft.daemon.request;

/** Whether a request ran, as reported in the {@code Heatherloft-Run} header. */
public enum RunStatus {
    /** The request has not run and will not run: it reached no backend server, or only ones that refused it as leaving. */
    NOT_RUN("not-run"),
    /** The request ran. */
    RAN("ran"),
    /** The request may have run. */
    UNKNOWN("unknown");

    private final String headerValue;

    RunStatus(String headerValue) {
        this.headerValue = headerValue;
    }

    /** Returns the value for the header. */
    public String headerValue() {
        return headerValue;
    }
}
