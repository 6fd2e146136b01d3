package io.heatherloft.entry;

import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import java.util.function.Consumer;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Hands warnings and errors of the network library to the log's queue.
 *
 * <p>The library's own bridges set up a logging library before the first connection, which takes a starting host longer
 * than everything else. Safe for use by several threads if the consumer is.
 */
final class NettyLoggerFactory extends InternalLoggerFactory {
    private final Consumer<StringMapMessage> lineConsumer;

    /** Creates a factory; the consumer takes a line without waiting. */
    NettyLoggerFactory(Consumer<StringMapMessage> lines) {
        this.lineConsumer = lines;
    }

    @Override
    public InternalLogger newInstance(String name) {
        return new NettyLogger(name, lineConsumer);
    }

    /** Writes warnings and errors, and nothing of lower levels. */
    private static final class NettyLogger extends AbstractInternalLogger {
        private static final long serialVersionUID = 1L;

        private final transient Consumer<StringMapMessage> lineConsumer;

        NettyLogger(String name, Consumer<StringMapMessage> lines) {
            super(name);
            this.lineConsumer = lines;
        }

        private void write(String level, String message, Object... details) {
            StringMapMessage line = new StringMapMessage();
            line.with("kind", "lifecycle");
            line.with("event", "network_library");
            line.with("level", level);
            line.with("logger", name());
            line.with("message", message);
            if (details.length > 0) {
                line.with("details", java.util.Arrays.toString(details));
            }
            lineConsumer.accept(line);
        }

        @Override
        public boolean isTraceEnabled() {
            return false;
        }

        @Override
        public void trace(String _message) {}

        @Override
        public void trace(String _message, Object _argument) {}

        @Override
        public void trace(String _message, Object _first, Object _second) {}

        @Override
        public void trace(String _message, Object... _arguments) {}

        @Override
        public void trace(String _message, Throwable _cause) {}

        @Override
        public boolean isDebugEnabled() {
            return false;
        }

        @Override
        public void debug(String _message) {}

        @Override
        public void debug(String _message, Object _argument) {}

        @Override
        public void debug(String _message, Object _first, Object _second) {}

        @Override
        public void debug(String _message, Object... _arguments) {}

        @Override
        public void debug(String _message, Throwable _cause) {}

        @Override
        public boolean isInfoEnabled() {
            return false;
        }

        @Override
        public void info(String _message) {}

        @Override
        public void info(String _message, Object _argument) {}

        @Override
        public void info(String _message, Object _first, Object _second) {}

        @Override
        public void info(String _message, Object... _arguments) {}

        @Override
        public void info(String _message, Throwable _cause) {}

        @Override
        public boolean isWarnEnabled() {
            return true;
        }

        @Override
        public void warn(String message) {
            write("warn", message);
        }

        @Override
        public void warn(String message, Object argument) {
            write("warn", message, argument);
        }

        @Override
        public void warn(String message, Object first, Object second) {
            write("warn", message, first, second);
        }

        @Override
        public void warn(String message, Object... arguments) {
            write("warn", message, arguments);
        }

        @Override
        public void warn(String message, Throwable cause) {
            write("warn", message, cause);
        }

        @Override
        public boolean isErrorEnabled() {
            return true;
        }

        @Override
        public void error(String message) {
            write("error", message);
        }

        @Override
        public void error(String message, Object argument) {
            write("error", message, argument);
        }

        @Override
        public void error(String message, Object first, Object second) {
            write("error", message, first, second);
        }

        @Override
        public void error(String message, Object... arguments) {
            write("error", message, arguments);
        }

        @Override
        public void error(String message, Throwable cause) {
            write("error", message, cause);
        }
    }
}
