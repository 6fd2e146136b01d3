package io.heatherloft.daemon;

import io.heatherloft.daemon.settings.DaemonSettings;
import io.heatherloft.daemon.settings.InvalidSettingsException;
import io.heatherloft.domain.configuration.ConfigurationFile;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Entry point of {@code heatherloftd}.
 *
 * <p>Exit codes: 0 after a graceful shutdown, 2 for invalid arguments or settings, 3 if the host cannot start.
 */
public final class DaemonMain {
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_CANNOT_START = 3;

    private DaemonMain() {}

    /** Runs a host until SIGTERM is received. */
    public static void main(String[] arguments) throws InterruptedException {
        System.exit(run(arguments));
    }

    private static int run(String[] arguments) throws InterruptedException {
        ArgumentParser parser = ArgumentParsers.newFor("heatherloftd")
                .build()
                .description("Routes callers' requests to backend servers. Runs as one process on each entry host.")
                .epilog("Exit codes: 0 graceful shutdown, 2 invalid arguments or settings, 3 host cannot start. "
                        + "On SIGTERM, requests in progress are completed before the process exits.");
        parser.addArgument("--settings")
                .metavar("FILE")
                .required(true)
                .help("YAML file with the host's identity, its listen addresses and the platform's addresses");
        try {
            Namespace parsed = parser.parseArgs(arguments);
            Path path = Path.of(parsed.getString("settings"));
            DaemonSettings settings =
                    DaemonSettings.parse(new ConfigurationFile(path.toString(), Files.readString(path)));
            serve(settings);
            return 0;
        } catch (ArgumentParserException exception) {
            parser.handleError(exception);
            return EXIT_USAGE;
        } catch (InvalidSettingsException exception) {
            System.err.println(exception.getMessage());
            return EXIT_USAGE;
        } catch (IOException exception) {
            System.err.println("heatherloftd: " + exception.getMessage() + ": " + exception.getCause());
            return EXIT_CANNOT_START;
        }
    }

    @SuppressWarnings("ShutdownHook") // The daemon is the whole process; no container manages its lifecycle.
    private static void serve(DaemonSettings settings) throws IOException, InterruptedException {
        Daemon daemon = Daemon.start(settings);
        // Without the halt, the process would exit with the signal's code after a graceful shutdown.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            daemon.stop().join();
            Runtime.getRuntime().halt(0);
        }));
        new CountDownLatch(1).await();
    }
}
