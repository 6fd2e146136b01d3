package io.heatherloft.bench;

import io.heatherloft.cli.CommandLine;
import io.heatherloft.cli.ExitCode;
import io.heatherloft.daemon.Daemon;
import io.heatherloft.daemon.settings.DaemonSettings;
import io.heatherloft.standins.EngineStandIn;
import io.heatherloft.standins.StandInSettings;
import io.heatherloft.standins.StandIns;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.BindException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Real hosts and stand-ins on loopback, in one process. Confined to one thread. */
final class TestBed implements AutoCloseable {
    private static final int ENGINES = 8;
    private static final int FIRST_EPHEMERAL_PORT = 32_768;
    private static int nextPort = 21_000;

    private final StandIns standIns;
    private final StandInSettings standInSettings;
    private final List<DaemonSettings> settings;
    private final List<Daemon> daemons;

    private TestBed(
            StandIns standIns, StandInSettings standInSettings, List<DaemonSettings> settings, List<Daemon> daemons) {
        this.standIns = standIns;
        this.standInSettings = standInSettings;
        this.settings = settings;
        this.daemons = daemons;
    }

    static TestBed start(int hosts) throws IOException {
        List<String> peers = new ArrayList<>();
        List<StandInSettings.EntryHost> entryHosts = new ArrayList<>();
        List<StandInSettings.Engine> engines = new ArrayList<>();
        for (int index = 0; index < hosts; index++) {
            peers.add(freeAddress());
            entryHosts.add(new StandInSettings.EntryHost("entry-" + index, peers.get(index), "zone-" + index % 3));
        }
        EngineStandIn.Settings behaviour = new EngineStandIn.Settings(20, 20, 256, true, 0.9, 1_000);
        for (int index = 0; index < ENGINES; index++) {
            engines.add(new StandInSettings.Engine(
                    freeAddress(),
                    "runners",
                    "zone-" + index % 3,
                    behaviour,
                    List.of(
                            new StandInSettings.LoadedVersion("small@1", 0.9),
                            new StandInSettings.LoadedVersion("small@2", 0.9))));
        }
        StandInSettings standInSettings =
                new StandInSettings(freeAddress(), freeAddress(), freeAddress(), entryHosts, engines, List.of());
        StandIns standIns = StandIns.start(standInSettings);
        List<DaemonSettings> settings = new ArrayList<>();
        List<Daemon> daemons = new ArrayList<>();
        for (int index = 0; index < hosts; index++) {
            settings.add(hostSettings(index, peers.get(index), standInSettings));
            daemons.add(Daemon.start(settings.get(index)));
        }
        return new TestBed(standIns, standInSettings, settings, daemons);
    }

    void apply(int workspaces) throws IOException {
        Path directory = Files.createTempDirectory("heatherloft-bench");
        Files.writeString(directory.resolve("all.yaml"), SampleData.configuration(workspaces));
        PrintStream silent = new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8);
        ExitCode exit = new CommandLine(silent, System.err)
                .run("--store", "http://" + standInSettings.keyValueAddress(), "apply", directory.toString());
        if (exit != ExitCode.OK) {
            throw new IOException("not applied: " + exit.meaning());
        }
    }

    List<Daemon> daemons() {
        return daemons;
    }

    StandIns standIns() {
        return standIns;
    }

    String callerAddress(int host) {
        return settings.get(host).callerAddress();
    }

    /** Returns the processor time of the hosts' loops, in nanoseconds. */
    static long loopNanos() {
        return processorNanos("heatherloft-entry-");
    }

    /** Returns the processor time of the threads between hosts, in nanoseconds. */
    static long peerNanos() {
        return processorNanos("multiThreadIoEventLoopGroup");
    }

    @Override
    public void close() {
        daemons.forEach(Daemon::kill);
        standIns.close();
    }

    private static long processorNanos(String threadPrefix) {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        return Arrays.stream(threads.getThreadInfo(threads.getAllThreadIds()))
                .filter(thread -> thread != null && thread.getThreadName().startsWith(threadPrefix))
                .mapToLong(thread -> threads.getThreadCpuTime(thread.getThreadId()))
                .filter(nanos -> nanos > 0)
                .sum();
    }

    private static DaemonSettings hostSettings(int index, String peerAddress, StandInSettings standIns)
            throws IOException {
        return new DaemonSettings(
                "entry-" + index,
                "zone-" + index % 3,
                freeAddress(),
                freeAddress(),
                peerAddress,
                "http://" + standIns.keyValueAddress(),
                "http://" + standIns.hostListAddress(),
                "http://" + standIns.ratingAddress(),
                0,
                1_000);
    }

    // Counts up below the range from which outgoing connections get their ports, so that none is taken in between.
    private static String freeAddress() throws IOException {
        while (nextPort < FIRST_EPHEMERAL_PORT) {
            nextPort++;
            try (ServerSocket socket = new ServerSocket(nextPort)) {
                return "127.0.0.1:" + socket.getLocalPort();
            } catch (BindException _exception) {
                // Taken by another process; the next one is tried.
            }
        }
        throw new IOException("no free port below " + FIRST_EPHEMERAL_PORT);
    }
}
