package io.heatherloft.router.request;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * What the header of a backend server's answer says.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param attemptId request that the answer belongs to, if stated
 * @param sealed true if the server vouches for the answer
 * @param notExecuted true if the server states that it has not run the request and will not
 * @param confidence the model's opinion of its answer, from 0 to 100
 */
public record ResponseMetadata(Optional<String> attemptId, boolean sealed, boolean notExecuted, OptionalInt confidence) {}
