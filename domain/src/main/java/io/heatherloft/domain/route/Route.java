package io.heatherloft.domain.route;

import io.heatherloft.domain.StableHash;
import java.util.List;
import java.util.OptionalLong;

/**
 * Destinations and limits for requests with a given host name and path prefix.
 *
 * <p>Invariant: {@code destinations} is not empty. Immutable and thread-safe.
 *
 * @param hostName host name, in lower case and without a port
 * @param pathPrefix path prefix that begins and ends with a slash
 * @param timeoutMillis maximum time for the complete answer; empty if only the caller's deadline applies
 * @param objectiveMillis latency objective for the complete answer, or for the first event of a stream
 * @param priority priority of the route's requests, 0 being the highest
 * @param maxAttempts maximum number of backend servers to which a request is sent
 * @param anonymous true if requests need no API key
 * @param sessionAffinity whether the configuration asks for session affinity; no routing decision depends on it
 * @param eventGapObjectiveMillis objective for the time between two events of a stream; 0 if there is none
 * @param modelsBySize models that may answer, smallest first; empty if the caller chooses the model
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

    /** Returns the service for a request; the same hash gives the same service while the weights are unchanged. */
    public String serviceFor(long hash) {
        int total = destinations.stream().mapToInt(Destination::weight).sum();
        double position = StableHash.toUnitInterval(hash) * total;
        int cumulativeWeight = 0;
        for (Destination destination : destinations) {
            cumulativeWeight += destination.weight();
            if (position < cumulativeWeight) {
                return destination.service();
            }
        }
        return destinations.get(destinations.size() - 1).service();
    }
}
