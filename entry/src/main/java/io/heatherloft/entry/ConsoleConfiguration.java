package io.heatherloft.entry;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.stream.Collectors;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.LoggerConfig;
import org.apache.logging.log4j.core.layout.AbstractStringLayout;
import org.apache.logging.log4j.message.MapMessage;

/**
 * Log4j configuration that writes log events to standard output, one JSON object per line.
 *
 * <p>It is put together without Log4j's plugins, because searching them takes as long as the rest of a host's start. Its
 * invariants and thread safety are those of {@link AbstractConfiguration}.
 */
final class ConsoleConfiguration extends AbstractConfiguration {
    private static final String CONSOLE = "console";
    private static final String NETTY_LOGGER = "io.netty";

    ConsoleConfiguration() {
        super(null, ConfigurationSource.NULL_SOURCE);
        setName("heatherloft");
        // The host flushes its last lines itself when it stops.
        isShutdownHookEnabled = false;
    }

    @Override
    public void initialize() {
        doConfigure();
        setState(State.INITIALIZED);
    }

    @Override
    protected void doConfigure() {
        ConsoleAppender appender = ConsoleAppender.newBuilder()
                .setName(CONSOLE)
                .setTarget(ConsoleAppender.Target.SYSTEM_OUT)
                .setDirect(true)
                .setLayout(new JsonLineLayout())
                .setConfiguration(this)
                .build();
        appender.start();
        addAppender(appender);
        getRootLogger().setLevel(Level.INFO);
        getRootLogger().addAppender(appender, null, null);
        LoggerConfig netty = new LoggerConfig(NETTY_LOGGER, Level.ERROR, true);
        netty.setParent(getRootLogger());
        addLogger(NETTY_LOGGER, netty);
    }

    /** Writes a map message as a JSON object, any other message as it is, and the kind and place of a throwable. */
    static final class JsonLineLayout extends AbstractStringLayout {
        private static final String[] JSON = {MapMessage.MapFormat.JSON.name()};

        JsonLineLayout() {
            super(StandardCharsets.UTF_8);
        }

        @Override
        public String toSerializable(LogEvent event) {
            String text = event.getMessage() instanceof MapMessage<?, ?> message
                    ? message.getFormattedMessage(JSON)
                    : event.getMessage().getFormattedMessage();
            Throwable thrown = event.getThrown();
            if (thrown == null) {
                return text + '\n';
            }
            String place = Arrays.stream(thrown.getStackTrace())
                    .limit(1)
                    .map(frame -> "\tat " + frame + '\n')
                    .collect(Collectors.joining());
            return text + '\n' + thrown + '\n' + place;
        }
    }
}
