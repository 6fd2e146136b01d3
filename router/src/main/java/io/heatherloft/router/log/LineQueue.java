package io.heatherloft.router.log;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Hands log lines to a thread that writes them, so that the loop neither waits for the output nor for the set-up of the
 * logging library.
 *
 * <p>Invariant: holds at most {@link #CAPACITY} lines. {@link #offer} may be called by any thread.
 */
public final class LineQueue {
    /** Lines that wait for the output; four seconds of the most that a host writes. */
    public static final int CAPACITY = 2_048;

    private final BlockingQueue<StringMapMessage> lines = new ArrayBlockingQueue<>(CAPACITY);
    private final Thread thread;

    /**
     * Creates a queue.
     *
     * @param startDelayMillis time before the first line is written, during which a starting process has more urgent
     *     work
     * @param setUp is run once on the writing thread, before the first line
     */
    public LineQueue(long startDelayMillis, Runnable setUp) {
        this.thread = new Thread(() -> run(startDelayMillis, setUp), "log-lines");
        thread.setDaemon(true);
    }

    /** Starts to write. */
    public void start() {
        thread.start();
    }

    /** Adds a line; returns false if there is no room for it. */
    public boolean offer(StringMapMessage line) {
        return lines.offer(line);
    }

    /** Writes what is left; called when the loop has ended. */
    public void finish() {
        thread.interrupt();
        try {
            thread.join();
        } catch (InterruptedException _exception) {
            Thread.currentThread().interrupt();
        }
    }

    private void run(long startDelayMillis, Runnable setUp) {
        try {
            Thread.sleep(startDelayMillis);
        } catch (InterruptedException _exception) {
            Thread.currentThread().interrupt();
        }
        setUp.run();
        Consumer<StringMapMessage> writer = LoggerHolder::write;
        try {
            while (!Thread.currentThread().isInterrupted()) {
                writer.accept(lines.take());
            }
        } catch (InterruptedException _exception) {
            Thread.currentThread().interrupt();
        }
        boolean _interrupted = Thread.interrupted();
        lines.forEach(writer);
    }

    /** Holds the logger, so that the library is set up on the writing thread. */
    private static final class LoggerHolder {
        private static final Logger LOG = LogManager.getLogger(LineQueue.class);

        private LoggerHolder() {}

        static void write(StringMapMessage line) {
            LOG.info(line);
        }
    }
}
