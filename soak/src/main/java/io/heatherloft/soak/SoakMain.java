package io.heatherloft.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Runs the soak test for a range of seeds.
 *
 * <p>Exit codes: 0 if no run violated an invariant, 1 if one did, 2 for invalid arguments. Runs on the main thread.
 */
public final class SoakMain {
    private static final int EXIT_FINDINGS = 1;
    private static final int EXIT_USAGE = 2;

    private SoakMain() {}

    /** Runs the seeds one after another and exits. */
    public static void main(String[] arguments) throws InterruptedException, IOException {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host,connection");
        ArgumentParser parser = ArgumentParsers.newFor("heatherloft-soak")
                .build()
                .defaultHelp(true)
                .description(
                        "Runs entry hosts in child processes, injects faults, and checks the router's guarantees.");
        parser.addArgument("--first-seed").type(Long.class).setDefault(1L).help("seed of the first run");
        parser.addArgument("--seeds").type(Integer.class).setDefault(1).help("number of runs");
        parser.addArgument("--steps").type(Integer.class).setDefault(25).help("number of faults to inject in each run");
        parser.addArgument("--hosts").type(Integer.class).setDefault(3).help("number of entry hosts");
        parser.addArgument("--other-build")
                .metavar("CLASSPATH")
                .help(
                        "class path of another build of the hosts: each start of a host changes the build, neighbours begin with "
                                + "different ones");
        parser.addArgument("--logs").setDefault("target/soak").help("directory for the host logs");
        try {
            System.exit(run(parser.parseArgs(arguments)));
        } catch (ArgumentParserException exception) {
            parser.handleError(exception);
            System.exit(EXIT_USAGE);
        }
    }

    private static List<String> builds(Namespace parsed) {
        return Stream.of(System.getProperty("java.class.path"), parsed.getString("other_build"))
                .filter(Objects::nonNull)
                .toList();
    }

    private static int run(Namespace parsed) throws InterruptedException, IOException {
        int failedRuns = 0;
        long first = parsed.getLong("first_seed");
        for (long seed = first; seed < first + parsed.getInt("seeds"); seed++) {
            Path directory = Path.of(parsed.getString("logs"), String.valueOf(seed));
            Files.createDirectories(directory);
            SoakRun run = new SoakRun(seed, parsed.getInt("steps"), parsed.getInt("hosts"), directory, builds(parsed));
            List<String> findings = run.run();
            System.out.println("seed " + seed + ": " + (findings.isEmpty() ? "kept" : "BROKEN") + "; "
                    + run.trace().get(run.trace().size() - 1));
            if (!findings.isEmpty()) {
                failedRuns++;
                run.trace().forEach(step -> System.out.println("  " + step));
                findings.forEach(finding -> System.out.println("  violation: " + finding));
            }
        }
        return failedRuns == 0 ? 0 : EXIT_FINDINGS;
    }
}
