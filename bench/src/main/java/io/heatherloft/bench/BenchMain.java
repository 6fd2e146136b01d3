package io.heatherloft.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.heatherloft.bench.policy.PolicyExperiment;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.openjdk.jmh.runner.RunnerException;

/**
 * Entry point of {@code heatherloft-bench}: runs one benchmark and writes its figures as JSON, with the machine and the
 * command that gave them.
 *
 * <p>Exit codes: 0 when done, 1 if the benchmark failed, 2 if the command line is wrong.
 */
public final class BenchMain {
    private static final Map<String, Benchmark> BENCHMARKS = new TreeMap<>(Map.of(
            "decisions", DecisionBenchmarks::run,
            "sizes", SizeBenchmark::run,
            "fleet", FleetBenchmark::run,
            "stream", StreamBenchmark::run,
            "policy", PolicyExperiment::run));
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    private BenchMain() {}

    /** Runs one benchmark. */
    public static void main(String[] arguments) {
        System.exit(run(arguments));
    }

    private static int run(String[] arguments) {
        ArgumentParser parser = ArgumentParsers.newFor("heatherloft-bench")
                .build()
                .defaultHelp(true)
                .description("Runs one benchmark and writes its figures as JSON.");
        parser.addArgument("name").choices(BENCHMARKS.keySet()).help("which benchmark");
        parser.addArgument("--output")
                .metavar("DIRECTORY")
                .setDefault("target/bench")
                .help("where the figures go");
        parser.addArgument("--quick")
                .action(net.sourceforge.argparse4j.impl.Arguments.storeTrue())
                .help("only show that it starts; the figures mean nothing");
        try {
            Namespace parsed = parser.parseArgs(arguments);
            String name = parsed.getString("name");
            JsonNode figures = BENCHMARKS.get(name).run(parsed.getBoolean("quick"));
            write(Path.of(parsed.getString("output")), name, figures, String.join(" ", arguments));
            return 0;
        } catch (ArgumentParserException exception) {
            parser.handleError(exception);
            return EXIT_USAGE;
        } catch (IOException | RunnerException | InterruptedException exception) {
            System.err.println("heatherloft-bench: " + exception);
            return EXIT_FAILED;
        }
    }

    private static void write(Path directory, String name, JsonNode figures, String command) throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        ObjectNode document = mapper.createObjectNode();
        document.put("command", "bin/heatherloft-bench " + command);
        document.put("machine", Machine.describe());
        document.set("figures", figures);
        Files.createDirectories(directory);
        Path file = directory.resolve(name + ".json");
        Files.writeString(file, mapper.writerWithDefaultPrettyPrinter().writeValueAsString(document) + "\n");
        System.out.println(Files.readString(file));
    }

    /** A benchmark: returns its figures. */
    @FunctionalInterface
    private interface Benchmark {
        JsonNode run(boolean quick) throws IOException, RunnerException, InterruptedException;
    }
}
