package io.heatherloft.soak;

import io.heatherloft.ports.http.SocketAddresses;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * An entry host that runs in a child process. Signals are sent to that process only, by its process ID.
 *
 * <p>Confined to one thread.
 */
final class HostProcess {
    private static final String MAIN_CLASS = "io.heatherloft.entry.EntryMain";

    private final Path directory;
    private final List<String> builds;
    private final Path settingsFile;
    private final String callerAddress;
    private Path logFile;
    private Process process;
    private int startCount;

    /**
     * Creates a host that is not running.
     *
     * @param builds class paths of the builds that the host runs, one after the other, from start to start
     */
    HostProcess(Path directory, String name, String callerAddress, String settingsText, List<String> builds) {
        this.builds = List.copyOf(builds);
        this.directory = directory;
        this.callerAddress = callerAddress;
        this.settingsFile = directory.resolve(name + ".yaml");
        try {
            Files.writeString(settingsFile, settingsText);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    String callerAddress() {
        return callerAddress;
    }

    void start() {
        startCount++;
        String name = settingsFile.getFileName().toString().replace(".yaml", "");
        logFile = directory.resolve(name + "-" + startCount + ".log");
        try {
            process = new ProcessBuilder(List.of(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-Xmx96m",
                            "-XX:+UseSerialGC",
                            "-XX:TieredStopAtLevel=1",
                            "-Dheatherloft.listen=" + callerAddress,
                            "-cp",
                            builds.get(startCount % builds.size()),
                            MAIN_CLASS,
                            settingsFile.toString()))
                    .redirectErrorStream(true)
                    .redirectOutput(logFile.toFile())
                    .start();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Returns whether the host accepts connections on its caller address. */
    boolean isListening() {
        InetSocketAddress address = SocketAddresses.parse(callerAddress);
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            return socket.isConnected();
        } catch (IOException _exception) {
            return false;
        }
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    /** Returns the last line of the process's log; empty if there is none. */
    String lastLogLine() {
        try {
            List<String> lines = Files.readAllLines(logFile);
            return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Kills the process without a graceful shutdown and waits for it to exit. Simulates a power loss. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Requests a graceful shutdown with SIGTERM, waits for the process to exit and returns its exit code. */
    int terminate() throws InterruptedException {
        process.destroy();
        return process.waitFor();
    }

    /** Sends a signal given by its name without the SIG prefix, such as STOP, CONT or HUP. */
    void sendSignal(String name) throws InterruptedException {
        try {
            new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
