package io.heatherloft.standins;

import io.heatherloft.domain.configuration.ConfigurationFile;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;

/**
 * Entry point of {@code heatherloft-standins}.
 *
 * <p>Exit codes: 2 if the command line or the settings are invalid, 3 if the settings cannot be read or the
 * stand-ins cannot start.
 */
public final class StandInsMain {
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_CANNOT_START = 3;

    private StandInsMain() {}

    /** Runs the stand-ins until the process is terminated. */
    public static void main(String[] arguments) throws InterruptedException {
        ArgumentParser parser = ArgumentParsers.newFor("heatherloft-standins")
                .build()
                .description("Runs stand-ins of the platform's services and of backend servers, for tests on one "
                        + "machine. POST /faults to any of them sets delay_millis, down or lose_answers.");
        parser.addArgument("--settings").metavar("FILE").required(true).help("YAML file that lists the stand-ins");
        try {
            Path path = Path.of(parser.parseArgs(arguments).getString("settings"));
            StandIns.start(StandInSettings.parse(new ConfigurationFile(path.toString(), Files.readString(path))));
            new CountDownLatch(1).await();
        } catch (ArgumentParserException exception) {
            parser.handleError(exception);
            System.exit(EXIT_USAGE);
        } catch (IllegalArgumentException exception) {
            System.err.println(exception.getMessage());
            System.exit(EXIT_USAGE);
        } catch (IOException exception) {
            System.err.println("heatherloft-standins: " + exception.getMessage() + ": " + exception.getCause());
            System.exit(EXIT_CANNOT_START);
        }
    }
}
