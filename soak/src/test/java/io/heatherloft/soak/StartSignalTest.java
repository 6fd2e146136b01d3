package io.heatherloft.soak;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.standins.platform.PlatformFixtures;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Signals that reach a host as soon as it listens, while the rest of it starts. */
final class StartSignalTest {
    private static final int STARTS = 5;
    private static final int MAX_WAIT_STEPS = 2_000;

    @TempDir
    private Path directory;

    // An entry host's port for metrics is fixed, so hosts of other processes must not share its address.
    private static final String ADDRESS =
            loopbackAddress(ProcessHandle.current().pid());

    private static String loopbackAddress(long pid) {
        return "127." + (1 + pid % 254) + '.' + pid / 254 % 256 + ".3";
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ADDRESS))) {
            return socket.getLocalPort();
        }
    }

    private HostProcess startUntilItListens(String name) throws IOException, InterruptedException {
        String callers = ADDRESS + ":" + freePort();
        String settings = PlatformFixtures.hostSettings(
                0, ADDRESS, callers, ADDRESS + ":" + freePort(), List.of(ADDRESS + ":" + freePort()), 8, freePort());
        HostProcess host =
                new HostProcess(directory, name, callers, settings, List.of(System.getProperty("java.class.path")));
        host.start();
        for (int step = 0; step < MAX_WAIT_STEPS && host.isAlive() && !host.isListening(); step++) {
            Thread.sleep(5);
        }
        return host;
    }

    @Nested
    final class ASignalDuringTheStart {
        @Test
        void to_terminate_stops_the_host_gracefully() throws IOException, InterruptedException {
            for (int start = 0; start < STARTS; start++) {
                HostProcess host = startUntilItListens("terminated" + start);
                int exitCode = host.terminate();
                assertThat(Files.readString(directory.resolve("terminated" + start + "-1.log")))
                        .contains("\"event\":\"stop\"");
                assertThat(exitCode).isEqualTo(0);
            }
        }

        @Test
        void to_reload_does_not_end_the_host() throws IOException, InterruptedException {
            HostProcess host = startUntilItListens("reloaded");
            host.sendSignal("HUP");
            assertThat(host.terminate()).isEqualTo(0);
        }
    }
}
