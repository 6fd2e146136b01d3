package io.heatherloft.entry;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilderFactory;
import org.apache.logging.log4j.core.config.builder.impl.BuiltConfiguration;

/**
 * Sends log lines to standard output, one JSON object each.
 *
 * <p>Set up in code, since reading a file costs a restarting host a tenth of a second. Stateless.
 */
final class LoggingSetup {
    private static final String CONSOLE = "console";

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
        builder.add(builder.newLogger("io.netty", Level.ERROR));
        builder.add(builder.newRootLogger(Level.INFO).add(builder.newAppenderRef(CONSOLE)));
        Configurator.initialize(builder.build(false));
    }
}
