package io.heatherloft.router.request;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * Metadata of a backend server's response, read from its headers.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param attemptId attempt ID of the request that the response belongs to, if present
 * @param sealed true if the response carries the seal by which the server vouches for it
 * @param notExecuted true if the server states that it has not executed the request and will not
 * @param confidence the model's confidence in its response, from 0 to 100
 */
public record ResponseMetadata(
        Optional<String> attemptId, boolean sealed, boolean notExecuted, OptionalInt confidence) {}
