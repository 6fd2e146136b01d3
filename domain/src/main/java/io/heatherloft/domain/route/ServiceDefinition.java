package io.heatherloft.domain.route;

import java.util.Map;

/**
 * A service as configured.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param maxConnections connections that each backend server accepts from all hosts together
 * @param modelCosts cost of each model for 1,000 generated tokens; empty for a plain service
 * @param maxBatchSize requests that an engine batches; 0 for a plain service
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
