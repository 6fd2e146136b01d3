package io.heatherloft.daemon.request;

import io.heatherloft.domain.configuration.Workspace;
import java.util.List;
import java.util.Optional;

/**
 * What is known of a request before it is looked into. Immutable and safe for use by several threads.
 *
 * @param requestId the caller's id, or a minted one
 */
public record RequestContext(
        Workspace workspace, String requestId, Optional<String> sessionId, Explanation explanation) {
    static final String REQUEST_HEADER = "Heatherloft-Request";
    static final String RUN_HEADER = "Heatherloft-Run";
    static final String VERSION_HEADER = "Heatherloft-Version";

    List<CallerChannel.HeaderField> headers(RunStatus run) {
        return List.of(
                new CallerChannel.HeaderField(REQUEST_HEADER, requestId),
                new CallerChannel.HeaderField(RUN_HEADER, run.headerValue()));
    }
}
