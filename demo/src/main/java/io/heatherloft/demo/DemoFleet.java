package io.heatherloft.demo;

import io.heatherloft.cli.CommandLine;
import io.heatherloft.cli.ExitCode;
import io.heatherloft.daemon.Daemon;
import io.heatherloft.daemon.settings.DaemonSettings;
import io.heatherloft.standins.EngineStandIn;
import io.heatherloft.standins.StandInSettings;
import io.heatherloft.standins.StandIns;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Two entry hosts and the stand-ins for the services that they depend on, on the loopback interface.
 *
 * <p>Invariant: the example configuration is in force when {@link #start} returns. Confined to one thread.
 */
final class DemoFleet implements AutoCloseable {
    private static final int HOST_PORT_STEP = 10;
    private static final int ENGINES_PER_POOL = 2;
    private static final List<String> ZONES = List.of("skane-a", "skane-b");

    private final StandIns standIns;
    private final List<Daemon> daemons;
    private final int port;
    private final String storeAddress;

    private DemoFleet(StandIns standIns, List<Daemon> daemons, int port, String storeAddress) {
        this.standIns = standIns;
        this.daemons = daemons;
        this.port = port;
        this.storeAddress = storeAddress;
    }

    static DemoFleet start(int port, Path configuration) throws IOException {
        List<String> peers = List.of(freeAddress(), freeAddress());
        StandInSettings settings = new StandInSettings(
                freeAddress(), freeAddress(), freeAddress(), entryHosts(peers), engines(), plainServices());
        StandIns standIns = StandIns.start(settings);
        List<Daemon> daemons = new ArrayList<>();
        for (int index = 0; index < peers.size(); index++) {
            daemons.add(Daemon.start(hostSettings(settings, peers, port, index)));
        }
        DemoFleet fleet = new DemoFleet(standIns, daemons, port, settings.keyValueAddress());
        ExitCode exitCode = fleet.runCommand("apply", configuration.toString(), "--operator", "demo");
        if (exitCode != ExitCode.OK) {
            fleet.close();
            throw new IOException("cannot apply the example configuration: " + exitCode.meaning());
        }
        return fleet;
    }

    /** Runs a command of {@code heatherloft} against this fleet. */
    ExitCode runCommand(String... arguments) {
        List<String> all = new ArrayList<>(
                List.of("--store", "http://" + storeAddress, "--host", "http://" + operationsAddress(0)));
        all.addAll(List.of(arguments));
        return new CommandLine(System.out, System.err).run(all.toArray(new String[0]));
    }

    String callerAddress(int host) {
        return "127.0.0.1:" + (port + HOST_PORT_STEP * host);
    }

    String operationsAddress(int host) {
        return "127.0.0.1:" + (port + HOST_PORT_STEP * host + 1);
    }

    int hostCount() {
        return daemons.size();
    }

    int bookingCount() {
        return standIns.plainServices().values().stream()
                .mapToInt(service -> service.bookings().size())
                .sum();
    }

    @Override
    public void close() {
        daemons.stream().map(Daemon::stop).toList().forEach(java.util.concurrent.CompletableFuture::join);
        standIns.close();
    }

    private static DaemonSettings hostSettings(StandInSettings settings, List<String> peers, int port, int index) {
        int callerPort = port + HOST_PORT_STEP * index;
        return new DaemonSettings(
                "entry-" + (index + 1),
                ZONES.get(index),
                "127.0.0.1:" + callerPort,
                "127.0.0.1:" + (callerPort + 1),
                peers.get(index),
                "http://" + settings.keyValueAddress(),
                "http://" + settings.hostListAddress(),
                "http://" + settings.ratingAddress(),
                0,
                10_000L);
    }

    private static List<StandInSettings.EntryHost> entryHosts(List<String> peers) {
        List<StandInSettings.EntryHost> hosts = new ArrayList<>();
        for (int index = 0; index < peers.size(); index++) {
            hosts.add(new StandInSettings.EntryHost("entry-" + (index + 1), peers.get(index), ZONES.get(index)));
        }
        return hosts;
    }

    private static List<StandInSettings.Engine> engines() throws IOException {
        List<StandInSettings.Engine> engines = new ArrayList<>();
        for (int index = 0; index < ENGINES_PER_POOL; index++) {
            engines.add(engine(
                    "rota-brief-runners",
                    index,
                    new StandInSettings.LoadedVersion("rota-brief@2026-10", 0.7),
                    new StandInSettings.LoadedVersion("rota-brief@2026-11", 0.72)));
            engines.add(engine(
                    "rota-planner-runners",
                    index,
                    new StandInSettings.LoadedVersion("rota-planner@2026-09", 0.95),
                    new StandInSettings.LoadedVersion("rota-planner@2026-11", 0.96)));
        }
        return engines;
    }

    private static StandInSettings.Engine engine(String pool, int index, StandInSettings.LoadedVersion... versions)
            throws IOException {
        EngineStandIn.Settings behaviour = new EngineStandIn.Settings(20, 5, 16, true, 0.8, 3_000);
        return new StandInSettings.Engine(freeAddress(), pool, ZONES.get(index), behaviour, List.of(versions));
    }

    private static List<StandInSettings.PlainService> plainServices() throws IOException {
        return List.of(new StandInSettings.PlainService(freeAddress(), "tower-booking-servers", ZONES.get(0)));
    }

    private static String freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }
}
