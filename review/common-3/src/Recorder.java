import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to the record of a case, with the time since the start. Thread-safe. */
final class Recorder implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter writer;

    Recorder(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file));
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void add(String text) {
        writer.printf("%7d ms  %s%n", millis(), text);
        writer.flush();
    }

    /** Adds a line and prints it. */
    void say(String text) {
        add(text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
