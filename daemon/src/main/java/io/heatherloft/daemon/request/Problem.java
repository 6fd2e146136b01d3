package io.heatherloft.daemon.request;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.heatherloft.ports.http.JsonHttpClient;

/**
 * A refusal or failure as told to a caller: a problem document (RFC 9457).
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param detail what happened to this request, without secrets
 * @param retryAfterMillis time after which another try may succeed, in milliseconds; 0 if it will not
 */
public record Problem(ProblemType type, RunStatus runStatus, String detail, long retryAfterMillis) {
    /** Media type of a problem document. */
    public static final String CONTENT_TYPE = "application/problem+json";

    private static final String TYPE_PREFIX = "urn:heatherloft:problem:";

    /** Returns a problem for which another try does not help. */
    public static Problem of(ProblemType type, RunStatus run, String detail) {
        return new Problem(type, run, detail, 0);
    }

    /** Returns the document. */
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
