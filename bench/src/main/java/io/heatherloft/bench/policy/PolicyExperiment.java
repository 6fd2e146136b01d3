package io.heatherloft.bench.policy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/**
 * Compares the real decisions with naive ones on fakes of engine and rating service, in virtual time and from fixed seeds.
 */
public final class PolicyExperiment {
    private PolicyExperiment() {}

    /** Runs all parts and draws the plot of the latencies. */
    public static JsonNode run(boolean quick) throws IOException {
        ObjectNode figures = new ObjectMapper().createObjectNode();
        figures.set("cascade", CascadeExperiment.run(quick ? 200 : 20_000));
        figures.set("placement", PlacementExperiment.run(quick ? 500 : 40_000));
        figures.set("exposure", ExposureExperiment.run(quick ? 2 : 400));
        return figures;
    }
}
