package io.heatherloft.router.request;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What a backend server is told besides the caller's own request.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param backendId identity of the server that is meant; another one at its address refuses the request
 * @param timeLeftMillis time after which the answer is of no use
 * @param workspace workspace that holds the caller's key
 * @param urgency rank from 0, the first, to 9; empty for plain services
 * @param model model that runs the request, if the router chose it
 * @param resumeAfterEventId last event that the caller has, if the stream is resumed
 */
public record DispatchMetadata(
        String backendId,
        long timeLeftMillis,
        Optional<String> workspace,
        OptionalInt urgency,
        Optional<String> model,
        OptionalLong resumeAfterEventId) {}
