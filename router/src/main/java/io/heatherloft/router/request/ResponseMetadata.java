package io.heatherloft.router.request;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Metadata of a backend server's response, read from its headers.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param attemptId attempt ID of the request that the response belongs to, if present
 * @param sealed true if the response carries the seal by which the server vouches for it
 * @param notExecuted true if the server states that it has not executed the request and will not
 * @param confidence the model's confidence in its response, from 0 to 100
 * @param requestLimit requests per second that the server accepts from all hosts together, if it names a limit
 * @param leaving true if the server says that it leaves
 * @param coldMillis time for which the server will be cold, if it says so; 0 if it says that it is not
 * @param restMillis time for which the server wants no requests of this host, if it has turned this one away and says so
 */
public record ResponseMetadata(
        Optional<String> attemptId,
        boolean sealed,
        boolean notExecuted,
        OptionalInt confidence,
        OptionalDouble requestLimit,
        boolean leaving,
        OptionalLong coldMillis,
        OptionalLong restMillis) {}
