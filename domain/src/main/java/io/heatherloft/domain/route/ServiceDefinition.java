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
 */
public record ServiceDefinition(
        String name,
        String healthPath,
        int maxConnections,
        Map<String, Double> modelCosts,
        int maxBatchSize,
        long cacheCapacityTokens) {

    /** Creates a definition. */
    public ServiceDefinition {
        modelCosts = Map.copyOf(modelCosts);
    }
}
