package io.heatherloft.domain.route;

import java.util.Map;

/**
 * Configuration of a service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxConnections maximum number of connections that a backend server accepts from all hosts together
 * @param modelCosts cost of 1,000 generated tokens by model; empty for a plain service
 * @param maxBatchSize maximum number of requests in an engine's batch; 0 for a plain service
 * @param cacheCapacityTokens capacity of an engine's key-value cache in tokens; 0 for a plain service
 * @param coldStartMillis time for which a server is cold after its start; 0 if unknown
 * @param coldRequestsPerSecond requests per second that a cold server withstands from all hosts together; 0 if it needs no
 *     protection
 */
public record ServiceDefinition(
        String name,
        String healthPath,
        int maxConnections,
        Map<String, Double> modelCosts,
        int maxBatchSize,
        long cacheCapacityTokens,
        long coldStartMillis,
        double coldRequestsPerSecond) {

    /** Creates a definition. */
    public ServiceDefinition {
        modelCosts = Map.copyOf(modelCosts);
    }
}
