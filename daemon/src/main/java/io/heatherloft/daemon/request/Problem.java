package io.heatherloft.daemon.request;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.heatherloft.ports.http.JsonHttpClient;

/**
 * A refusal or failure as reported to a caller in a problem document (RFC 9457).
 *
 * <p>Immutable and thread-safe.
 *
 * @param detail explanation specific to this request; must not contain secrets
 * @param retryAfterMillis time after which a retry may succeed, in milliseconds; 0 to advise against a retry
 */
public record Problem(ProblemType type, RunStatus runStatus, String detail, long retryAfterMillis) {
    /** Media type of a problem document. */
    public static final String CONTENT_TYPE = "application/problem+json";

    private static final String TYPE_PREFIX = "urn:heatherloft:problem:";

    /** Returns a problem that a retry does not resolve. */
    public static Problem of(ProblemType type, RunStatus run, String detail) {
        return new Problem(type, run, detail, 0);
    }

    /** Returns the problem document. */
    public String toJson() {
        ObjectNode document = JsonHttpClient.MAPPER.createObjectNode();
        document.put("type", TYPE_PREFIX + type.slug());
        document.put("title", type.title());
        document.put("status", type.status());
        document.put("detail", detail);
        document.put("run", runStatus.headerValue());
        return document.toString();
    }
}
