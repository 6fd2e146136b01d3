package io.heatherloft.entry;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilderFactory;
import org.apache.logging.log4j.core.config.builder.impl.BuiltConfiguration;

/**
 * Sends log lines to standard output without ever waiting for it.
 *
 * <p>Set up in code, since reading a file costs a restarting host a tenth of a second. Stateless.
 */
final class LoggingSetup {
    // Lines that wait for the output; what does not fit is dropped.
    private static final int QUEUE_LINES = 2_048;
    private static final String CONSOLE = "console";
    private static final String QUEUE = "queue";

    private LoggingSetup() {}

    /** Puts the setup in force; called once, before the first line is written. */
    static void install() {
        ConfigurationBuilder<BuiltConfiguration> builder = ConfigurationBuilderFactory.newConfigurationBuilder();
        builder.setStatusLevel(Level.ERROR).setShutdownHook("disable");
        builder.add(builder.newAppender(CONSOLE, ConsoleAppender.PLUGIN_NAME)
                .addAttribute("target", ConsoleAppender.Target.SYSTEM_OUT)
                .addAttribute("direct", true)
                .add(builder.newLayout("PatternLayout")
                        .addAttribute("pattern", "%m{JSON}%n%xThrowable{short}")
                        .addAttribute("alwaysWriteExceptions", false)));
        builder.add(builder.newAppender(QUEUE, "Async")
                .addAttribute("blocking", false)
                .addAttribute("bufferSize", QUEUE_LINES)
                .addComponent(builder.newAppenderRef(CONSOLE)));
        builder.add(builder.newLogger("io.netty", Level.ERROR));
        builder.add(builder.newRootLogger(Level.INFO).add(builder.newAppenderRef(QUEUE)));
        Configurator.initialize(builder.build(false));
    }
}
