package io.heatherloft.daemon.request;

import io.heatherloft.domain.configuration.Workspace;
import java.util.List;
import java.util.Optional;

/**
 * Workspace, ids and explanation of a request. Immutable, except for the explanation; confined to the event loop thread.
 *
 * @param requestId the id sent by the caller, or a generated one
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
