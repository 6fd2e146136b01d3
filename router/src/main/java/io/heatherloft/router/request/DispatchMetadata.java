package io.heatherloft.router.request;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Metadata that the router adds to a request that it sends to a backend server.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param backendId ID of the intended server; any other server at the same address refuses the request
 * @param timeLeftMillis time left until the request's deadline
 * @param workspace workspace to which the caller's API key belongs
 * @param urgency priority from 0 (highest) to 9; empty for services that don't stream
 * @param model model to use, if the router selects it
 * @param resumeAfterEventId ID of the last event that the caller has received, if the stream is resumed
 */
public record DispatchMetadata(
        String backendId,
        long timeLeftMillis,
        Optional<String> workspace,
        OptionalInt urgency,
        Optional<String> model,
        OptionalLong resumeAfterEventId) {}
