package io.heatherloft.entry;

import io.heatherloft.domain.configuration.ConfigurationFile;
import io.heatherloft.domain.configuration.Finding;
import io.heatherloft.platform.PlatformSettings;
import io.heatherloft.router.log.LineQueue;
import io.netty.util.internal.logging.InternalLoggerFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Starts an entry host on the users' platform.
 *
 * <p>Exit codes: 0 after an orderly stop, 2 if the settings are wrong, 3 if the host cannot start. Runs on the main
 * thread only until the host has started.
 */
public final class EntryMain {
    // Port of the metrics, as in deploy/system.toml; outside the ranges from which the platform draws its own.
    private static final int METRICS_PORT = 9_464;
    private static final int EXIT_INVALID_SETTINGS = 2;
    private static final int EXIT_START_FAILED = 3;

    private static final AtomicReference<Runnable> RELOAD_ACTION = new AtomicReference<>(() -> {});

    private EntryMain() {}

    /** Runs a host until SIGTERM. */
    public static void main(String[] arguments) throws InterruptedException {
        // First of all: until then a hang-up ends the process. One that comes before the settings are read needs
        // nothing.
        HangupSignal.handle(() -> RELOAD_ACTION.get().run());
        EarlyListener early = EarlyListener.fromSystemProperty();
        LineQueue lines = EntryHost.newLogQueue();
        String path = arguments.length > 0
                ? arguments[0]
                : Optional.ofNullable(System.getenv(PlatformSettings.FILE_VARIABLE))
                        .orElse("");
        InternalLoggerFactory.setDefaultFactory(new NettyLoggerFactory(lines::offer));
        int code = run(path, lines, early);
        if (code != 0) {
            System.exit(code);
        }
    }

    private static int run(String path, LineQueue lines, EarlyListener early) throws InterruptedException {
        if (path.isEmpty()) {
            System.err.println("heatherloft-entry: " + PlatformSettings.FILE_VARIABLE
                    + " is not set: expected the path of the settings file");
            return EXIT_INVALID_SETTINGS;
        }
        List<Finding> findings = new ArrayList<>();
        try {
            ConfigurationFile file = new ConfigurationFile(path, Files.readString(Path.of(path)));
            Optional<PlatformSettings> settings = PlatformSettings.read(file, findings);
            if (settings.isEmpty()) {
                findings.forEach(System.err::println);
                return EXIT_INVALID_SETTINGS;
            }
            serve(settings.get(), lines, early);
            return 0;
        } catch (IOException exception) {
            System.err.println("heatherloft-entry: cannot read " + path + ": " + exception.getMessage());
            return EXIT_START_FAILED;
        } catch (IllegalStateException exception) {
            System.err.println("heatherloft-entry: cannot start: " + exception.getMessage());
            return EXIT_START_FAILED;
        }
    }

    @SuppressWarnings("ShutdownHook") // The host is the whole process; no container manages its life.
    private static void serve(PlatformSettings settings, LineQueue lines, EarlyListener early)
            throws InterruptedException {
        EntryHost host = EntryHost.start(settings, lines, early, METRICS_PORT);
        // Without the halt the process would end with the signal's code after an orderly stop.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            host.stop().join();
            host.flushLog();
            Runtime.getRuntime().halt(0);
        }));
        RELOAD_ACTION.set(host::reload);
        new CountDownLatch(1).await();
    }
}
