import java.io.IOException;

/** Starts daemon threads with small stacks. */
final class Threads {
    private static final long STACK_BYTES = 256 * 1024;

    private Threads() {}

    /** A task that may fail; a failed connection ends its thread only. */
    interface Task {
        void run() throws Exception;
    }

    static Thread start(Task task) {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        task.run();
                    } catch (IOException | InterruptedException ignored) {
                        // The peer has closed the connection, or the case has ended.
                    } catch (Exception failure) {
                        failure.printStackTrace();
                    }
                },
                "case",
                STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
