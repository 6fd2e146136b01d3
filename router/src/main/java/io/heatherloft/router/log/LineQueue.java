package io.heatherloft.router.log;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Bounded queue of log lines with a writer thread, so that the event loop blocks neither on output nor on the
 * initialization of the logging library.
 *
 * <p>Holds at most {@link #CAPACITY} lines. {@link #offer} may be called from any thread.
 */
public final class LineQueue {
    /** Maximum number of queued lines; four seconds at the rate limit of {@link DecisionLog}. */
    public static final int CAPACITY = 2_048;

    private final BlockingQueue<StringMapMessage> lines = new ArrayBlockingQueue<>(CAPACITY);
    private final Thread thread;

    /**
     * Creates a queue; nothing is written before {@link #start}.
     *
     * @param startDelayMillis delay before the first line is written, which leaves the CPU to process startup
     * @param setUp runs once on the writer thread, before the first line is written
     */
    public LineQueue(long startDelayMillis, Runnable setUp) {
        this.thread = new Thread(() -> run(startDelayMillis, setUp), "log-lines");
        thread.setDaemon(true);
    }

    /** Starts the writer thread. */
    public void start() {
        thread.start();
    }

    /** Adds a line; returns false if the queue is full. */
    public boolean offer(StringMapMessage line) {
        return lines.offer(line);
    }

    /** Stops the writer thread and waits until it has written the remaining lines. Call after the loop has ended. */
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

    /** Initialization-on-demand holder: the logging library is initialized on the writer thread, not on the loop. */
    private static final class LoggerHolder {
        private static final Logger LOG = LogManager.getLogger(LineQueue.class);

        private LoggerHolder() {}

        static void write(StringMapMessage line) {
            LOG.info(line);
        }
    }
}
