package io.heatherloft.demo;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Entry point of {@code run-demo}.
 *
 * <p>Exit codes: 0 if all checks passed, 1 if a check failed, 2 if the arguments are invalid.
 */
public final class DemoMain {
    private static final int DEFAULT_PORT = 8080;
    private static final int EXIT_UNEXPECTED = 1;
    private static final int EXIT_USAGE = 2;

    private DemoMain() {}

    /** Runs the demo and exits. */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        ArgumentParser parser = ArgumentParsers.newFor("run-demo")
                .build()
                .defaultHelp(true)
                .description("Starts two entry hosts with stand-ins on this machine, applies the example configuration "
                        + "and sends a few requests.");
        parser.addArgument("--port")
                .type(Integer.class)
                .setDefault(DEFAULT_PORT)
                .help("caller port of the first host; its operations port is one higher, "
                        + "the ports of the second host are ten higher");
        parser.addArgument("--once")
                .action(Arguments.storeTrue())
                .help("exit after the requests instead of keeping the hosts running");
        System.exit(run(parser, arguments));
    }

    private static int run(ArgumentParser parser, String[] arguments) throws IOException, InterruptedException {
        Namespace parsed;
        try {
            parsed = parser.parseArgs(arguments);
        } catch (ArgumentParserException exception) {
            parser.handleError(exception);
            return EXIT_USAGE;
        }
        try (DemoFleet fleet = DemoFleet.start(parsed.getInt("port"), Path.of("examples/badvakt/configuration"))) {
            boolean asExpected = new DemoScenario(fleet, System.out).run();
            System.out.println(asExpected ? "every outcome was as expected" : "an outcome was not as expected");
            if (!parsed.getBoolean("once")) {
                System.out.println("the hosts keep running; press Ctrl-C to stop them");
                new CountDownLatch(1).await();
            }
            return asExpected ? 0 : EXIT_UNEXPECTED;
        }
    }
}
