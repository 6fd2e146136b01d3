package io.heatherloft.entry;

import org.apache.logging.log4j.core.config.Configurator;

/** Configures Log4j for a host; see {@link ConsoleConfiguration}. Stateless. */
final class LoggingSetup {
    private static final String SHUTDOWN_HOOK_PROPERTY = "log4j.shutdownHookEnabled";

    private LoggingSetup() {}

    /** Applies the configuration; must be called once, before the first event is logged. */
    static void install() {
        // A host that is stopped during its start initializes Log4j while the process ends, when no hook can be added.
        System.setProperty(SHUTDOWN_HOOK_PROPERTY, "false");
        Configurator.initialize(new ConsoleConfiguration());
    }
}
