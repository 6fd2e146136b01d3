package io.heatherloft.entry;

import static com.google.common.truth.Truth.assertThat;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.impl.Log4jLogEvent;
import org.apache.logging.log4j.core.layout.PatternLayout;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.SimpleMessage;
import org.apache.logging.log4j.message.StringMapMessage;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class ConsoleConfigurationTest {
    private static LogEvent event(Message message, Throwable thrown) {
        return Log4jLogEvent.newBuilder().setMessage(message).setThrown(thrown).build();
    }

    @Nested
    final class ALine {
        private final ConsoleConfiguration.JsonLineLayout layout = new ConsoleConfiguration.JsonLineLayout();

        @Test
        void is_that_of_log4js_pattern_layout_for_a_map_message() {
            StringMapMessage message = new StringMapMessage()
                    .with("event", "start")
                    .with("count", 7)
                    .with("text", "a \"quoted\" \\ line\nand \u00e5\u0001");
            LogEvent event = event(message, null);
            assertThat(layout.toSerializable(event))
                    .isEqualTo(PatternLayout.newBuilder()
                            .withPattern("%m{JSON}%n")
                            .build()
                            .toSerializable(event));
        }

        @Test
        void names_the_kind_and_place_of_a_throwable() {
            String line = layout.toSerializable(event(new SimpleMessage("failed"), new IllegalStateException("why")));
            assertThat(line).startsWith("failed\njava.lang.IllegalStateException: why\n\tat ");
            assertThat(line).contains("ConsoleConfigurationTest");
            assertThat(line).endsWith("\n");
        }
    }

    @Nested
    final class LoggerLevels {
        @Test
        void let_information_of_the_host_and_errors_of_netty_through() {
            try (LoggerContext context = new LoggerContext("levels")) {
                context.start(new ConsoleConfiguration());
                assertThat(context.getLogger("io.heatherloft.x").getLevel()).isEqualTo(Level.INFO);
                assertThat(context.getLogger("io.netty.channel.x").getLevel()).isEqualTo(Level.ERROR);
                assertThat(context.getConfiguration().isShutdownHookEnabled()).isFalse();
            }
        }
    }
}
