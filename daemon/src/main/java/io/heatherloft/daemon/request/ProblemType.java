package io.heatherloft.daemon.request;

import java.util.Locale;

/** The kinds of problem that callers may meet; the names are stable. */
public enum ProblemType {
    /** The API key is missing or names no workspace. */
    UNAUTHORIZED(401, "No valid API key"),
    /** The body is not what the path accepts. */
    INVALID_REQUEST(400, "Invalid request"),
    /** The body is larger than the workspace's limit. */
    BODY_TOO_LARGE(413, "Request body too large"),
    /** There is no such path. */
    NOT_FOUND(404, "No such path"),
    /** There is no such model, request class or service. */
    UNKNOWN_MODEL(404, "No such model"),
    /** The workspace may not use it. */
    NOT_ALLOWED(403, "Not allowed for this workspace"),
    /** No version of the model may be used now. */
    NO_VERSION(503, "No version available"),
    /** The session's version was withdrawn. */
    SESSION_ENDED(409, "The session's version was withdrawn"),
    /** The same request id was used for another request. */
    REQUEST_ID_REUSED(422, "Request id used for another request"),
    /** The request id is older than what is remembered. */
    REQUEST_ID_EXPIRED(409, "Request id too old"),
    /** The request is in progress, or its outcome is not known. */
    IN_PROGRESS(409, "Request in progress or of unknown outcome"),
    /** The workspace or the pool has more work than it can take. */
    OVERLOADED(429, "Too much work"),
    /** Nothing can take the request now. */
    UNAVAILABLE(503, "Not available"),
    /** The request was in progress on several backend servers that were lost. */
    QUARANTINED(503, "Request quarantined"),
    /** The backend server failed. */
    BACKEND_FAILED(502, "Backend server failed"),
    /** The backend server took too long. */
    TIMEOUT(504, "Backend server too slow"),
    /** The request ran but its answer was not kept. */
    ANSWER_NOT_KEPT(410, "Answer not kept");

    private final int status;
    private final String title;

    ProblemType(int status, String title) {
        this.status = status;
        this.title = title;
    }

    /** Returns the HTTP status. */
    public int status() {
        return status;
    }

    /** Returns the human-readable title. */
    public String title() {
        return title;
    }

    /** Returns the last part of the type's name. */
    public String slug() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
