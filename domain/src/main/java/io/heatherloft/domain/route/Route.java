package io.heatherloft.domain.route;

import io.heatherloft.domain.StableHash;
import java.util.List;
import java.util.OptionalLong;

/**
 * Where requests of one host name and path prefix go, and within which limits.
 *
 * <p>Invariant: {@code destinations} is not empty. Immutable and safe for use by several threads.
 *
 * @param hostName host name, in lower case and without a port
 * @param pathPrefix begins and ends with a slash
 * @param timeoutMillis longest time for which a caller waits for the whole answer; empty if only the caller's deadline
 *     counts
 * @param objectiveMillis response-time objective of the whole answer, or of a stream's first event
 * @param priority rank of the route's requests, 0 first
 * @param maxAttempts most backend servers to which one request is sent
 * @param anonymous true if requests need no key
 * @param modelsBySize models that may answer, smallest first; empty if the caller names the model
 */
public record Route(
        String name,
        String hostName,
        String pathPrefix,
        RepeatPolicy repeatPolicy,
        List<Destination> destinations,
        OptionalLong timeoutMillis,
        long objectiveMillis,
        int priority,
        int maxAttempts,
        boolean anonymous,
        boolean sessionAffinity,
        long eventGapObjectiveMillis,
        List<String> modelsBySize) {

    /** Creates a route. */
    public Route {
        destinations = List.copyOf(destinations);
        modelsBySize = List.copyOf(modelsBySize);
    }

    /** Returns the service of a request; the same hash gives the same service as long as the weights stand. */
    public String serviceFor(long hash) {
        int total = destinations.stream().mapToInt(Destination::weight).sum();
        double position = StableHash.toUnitInterval(hash) * total;
        int passed = 0;
        for (Destination destination : destinations) {
            passed += destination.weight();
            if (position < passed) {
                return destination.service();
            }
        }
        return destinations.get(destinations.size() - 1).service();
    }
}
