package io.heatherloft.daemon.request;

import java.util.Locale;

/** Types of problems reported to callers; the constants' names are part of the API. */
public enum ProblemType {
    /** The API key is missing or belongs to no workspace. */
    UNAUTHORIZED(401, "No valid API key"),
    /** The request is not valid for the path. */
    INVALID_REQUEST(400, "Invalid request"),
    /** The body is larger than the workspace's limit. */
    BODY_TOO_LARGE(413, "Request body too large"),
    /** The path does not exist. */
    NOT_FOUND(404, "No such path"),
    /** The model, request class or service does not exist. */
    UNKNOWN_MODEL(404, "No such model"),
    /** The workspace is not allowed to use the model or service. */
    NOT_ALLOWED(403, "Not allowed for this workspace"),
    /** No version of the model is currently usable. */
    NO_VERSION(503, "No version available"),
    /** The session's version was withdrawn and the session cannot continue with another one. */
    SESSION_ENDED(409, "The session's version was withdrawn"),
    /** The same request id was used for another request. */
    REQUEST_ID_REUSED(422, "Request id used for another request"),
    /** The request id is older than the maximum age, so the ledger may no longer know it. */
    REQUEST_ID_EXPIRED(409, "Request id too old"),
    /** The request is in progress, or its outcome is unknown. */
    IN_PROGRESS(409, "Request in progress or of unknown outcome"),
    /** The workspace or the pool is at its capacity limit. */
    OVERLOADED(429, "Too much work"),
    /** The service is temporarily unavailable. */
    UNAVAILABLE(503, "Not available"),
    /** The request was in progress on several backend servers when they were lost. */
    QUARANTINED(503, "Request quarantined"),
    /** The backend server failed to answer. */
    BACKEND_FAILED(502, "Backend server failed"),
    /** The request timed out. */
    TIMEOUT(504, "Backend server too slow"),
    /** The request ran, but its answer was not stored. */
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

    /** Returns the last part of the problem type's URN. */
    public String slug() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
