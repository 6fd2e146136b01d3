package io.heatherloft.entry;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilderFactory;
import org.apache.logging.log4j.core.config.builder.impl.BuiltConfiguration;

/**
 * Configures Log4j to write log events to standard output, one JSON object per line.
 *
 * <p>The configuration is built in code because reading a configuration file takes a tenth of a second when a host
 * restarts. Stateless.
 */
final class LoggingSetup {
    private static final String CONSOLE = "console";

    private LoggingSetup() {}

    /** Applies the configuration; must be called once, before the first event is logged. */
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
