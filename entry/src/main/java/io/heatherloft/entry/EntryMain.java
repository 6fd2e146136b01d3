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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Command that runs an entry host on the users' platform.
 *
 * <p>Exit codes: 0 after a graceful shutdown, 2 if the settings are invalid, 3 if the host cannot start. The main thread
 * starts the host and then only waits.
 */
public final class EntryMain {
    // Must match the metrics port in deploy/system.toml. Outside the ranges from which the platform allocates ports.
    private static final int METRICS_PORT = 9_464;
    private static final int EXIT_INVALID_SETTINGS = 2;
    private static final int EXIT_START_FAILED = 3;

    private static final AtomicReference<Runnable> RELOAD_ACTION = new AtomicReference<>(() -> {});
    // Completed once the start has ended; empty if it failed.
    private static final CompletableFuture<Optional<EntryHost>> STARTED = new CompletableFuture<>();

    private EntryMain() {}

    /** Runs a host until the process receives SIGTERM. */
    public static void main(String[] arguments) throws InterruptedException {
        // Must come first, because SIGHUP terminates the process until a handler is installed. A SIGHUP that arrives
        // before the settings are read needs no action.
        HangupSignal.handle(() -> RELOAD_ACTION.get().run());
        stopOnSignal();
        EarlyListener earlyListener = EarlyListener.fromSystemProperty();
        LineQueue logQueue = EntryHost.newLogQueue();
        String path = arguments.length > 0
                ? arguments[0]
                : Optional.ofNullable(System.getenv(PlatformSettings.FILE_VARIABLE))
                        .orElse("");
        InternalLoggerFactory.setDefaultFactory(new NettyLoggerFactory(logQueue::offer));
        int exitCode;
        try {
            exitCode = run(path, logQueue, earlyListener);
        } finally {
            STARTED.complete(Optional.empty());
        }
        if (exitCode != 0) {
            System.exit(exitCode);
        }
    }

    private static int run(String path, LineQueue logQueue, EarlyListener earlyListener) throws InterruptedException {
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
            serve(settings.get(), logQueue, earlyListener);
            return 0;
        } catch (IOException exception) {
            System.err.println("heatherloft-entry: cannot read " + path + ": " + exception.getMessage());
            return EXIT_START_FAILED;
        } catch (IllegalStateException exception) {
            System.err.println("heatherloft-entry: cannot start: " + exception.getMessage());
            return EXIT_START_FAILED;
        }
    }

    /**
     * Stops the host when the process receives SIGTERM. A host that is still starting may have read requests already, so its
     * start is completed first, within the same grace period.
     */
    @SuppressWarnings("ShutdownHook") // The host is the whole process; no container manages its lifecycle.
    private static void stopOnSignal() {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            long requestedAtNanos = System.nanoTime();
            STARTED.join().ifPresent(host -> {
                host.stop(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - requestedAtNanos))
                        .join();
                host.flushLog();
                // Without the halt, the process would exit with the signal's exit code after a graceful shutdown.
                Runtime.getRuntime().halt(0);
            });
        }));
    }

    private static void serve(PlatformSettings settings, LineQueue logQueue, EarlyListener earlyListener)
            throws InterruptedException {
        EntryHost host = EntryHost.start(settings, logQueue, earlyListener, METRICS_PORT);
        RELOAD_ACTION.set(host::reload);
        STARTED.complete(Optional.of(host));
        new CountDownLatch(1).await();
    }
}
