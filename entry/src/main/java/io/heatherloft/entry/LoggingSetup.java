package io.heatherloft.entry;

import org.apache.logging.log4j.core.config.Configurator;

/** Configures Log4j for a host; see {@link ConsoleConfiguration}. Stateless. */
final class LoggingSetup {
    private LoggingSetup() {}

    /** Applies the configuration; must be called once, before the first event is logged. */
    static void install() {
        Configurator.initialize(new ConsoleConfiguration());
    }
}
