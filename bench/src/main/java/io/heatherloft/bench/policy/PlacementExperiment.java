package io.heatherloft.bench.policy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.routing.BackendServer;
import io.heatherloft.domain.routing.Placement;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.VectorGraphicsEncoder;

/**
 * Time to the first token and to the whole answer under the real placement and naive ones, with and without shared
 * prefixes, a lost runner, reports that lag, and twice the load. Confined to one thread.
 */
final class PlacementExperiment {
    private static final long SEED = 4_711L;
    private static final Path PLOT = Path.of("target/bench/placement-first-token");

    private PlacementExperiment() {}

    static JsonNode run(int requests) throws IOException {
        ArrayNode figures = new ObjectMapper().createArrayNode();
        Map<String, Chooser> choosers = choosers();
        Map<String, Map<String, Double>> byScenario = new LinkedHashMap<>();
        for (EngineModel.Scenario scenario : EngineModel.Scenario.all()) {
            Map<String, Double> row = new LinkedHashMap<>();
            choosers.forEach((name, chooser) -> {
                EngineModel model = new EngineModel(scenario, new Random(SEED));
                model.run(requests, chooser);
                row.put(name, percentile(model.firstToken(), 99));
                figures.addObject()
                        .put("scenario", scenario.name())
                        .put("policy", name)
                        .put("first token p50, ms", percentile(model.firstToken(), 50))
                        .put("first token p95, ms", percentile(model.firstToken(), 95))
                        .put("first token p99, ms", percentile(model.firstToken(), 99))
                        .put("whole answer p95, ms", percentile(model.wholeAnswer(), 95))
                        .put("prefix cached, percent", model.cachedPercent());
            });
            if (scenario.load() <= 1) {
                byScenario.put(scenario.name(), row);
            }
        }
        draw(byScenario);
        return figures;
    }

    private static Map<String, Chooser> choosers() {
        Map<String, Chooser> choosers = new LinkedHashMap<>();
        choosers.put("random", (views, _prefix, random) -> random.nextInt(views.size()));
        int[] turn = new int[1];
        choosers.put("round robin", (views, _prefix, _random) -> turn[0]++ % views.size());
        choosers.put("least outstanding", PlacementExperiment::leastOutstanding);
        choosers.put("placement", PlacementExperiment::placement);
        return choosers;
    }

    private static int leastOutstanding(List<EngineModel.View> views, int _prefix, Random random) {
        int offset = random.nextInt(views.size());
        return IntStream.range(0, views.size())
                .map(index -> (index + offset) % views.size())
                .boxed()
                .min(Comparator.comparingInt(index -> views.get(index).outstanding()))
                .orElseThrow();
    }

    private static int placement(List<EngineModel.View> views, int prefix, Random random) {
        List<Placement.Candidate> candidates = views.stream()
                .map(view -> new Placement.Candidate(
                        new BackendServer(Integer.toString(view.server()), "pool", "zone", false),
                        StableHash.mix(view.server(), 17),
                        view.outstanding(),
                        Integer.MAX_VALUE,
                        view.reportedWaiting()))
                .toList();
        return Placement.choose(
                        candidates, StableHash.mix(prefix, 23), views.get(0).prefixSeen())
                .map(candidate -> indexOf(views, candidate.server().address()))
                .orElseGet(() -> random.nextInt(views.size()));
    }

    private static int indexOf(List<EngineModel.View> views, String address) {
        return IntStream.range(0, views.size())
                .filter(index -> Integer.toString(views.get(index).server()).equals(address))
                .findFirst()
                .orElseThrow();
    }

    private static double percentile(Histogram histogram, double percent) {
        return histogram.getValueAtPercentile(percent);
    }

    private static void draw(Map<String, Map<String, Double>> byScenario) throws IOException {
        CategoryChart chart = new CategoryChartBuilder()
                .width(900)
                .height(420)
                .title("Time to the first token, 99th percentile")
                .yAxisTitle("milliseconds")
                .build();
        List<String> scenarios = List.copyOf(byScenario.keySet());
        byScenario
                .get(scenarios.get(0))
                .keySet()
                .forEach(policy -> chart.addSeries(
                        policy,
                        scenarios,
                        scenarios.stream()
                                .map(scenario -> byScenario.get(scenario).get(policy))
                                .toList()));
        Files.createDirectories(PLOT.getParent());
        VectorGraphicsEncoder.saveVectorGraphic(chart, PLOT.toString(), VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
    }

    /** Chooses among the views of one entry host. */
    @FunctionalInterface
    interface Chooser {
        int choose(List<EngineModel.View> views, int prefix, Random random);
    }
}
