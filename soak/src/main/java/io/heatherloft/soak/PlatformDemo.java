package io.heatherloft.soak;

import io.heatherloft.soak.PromiseCheck.Kind;
import io.heatherloft.standins.platform.StoreStandIn;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Shows an entry host on the users' platform: a process of its own, with stand-ins of the store and of backend servers.
 *
 * <p>Exit codes: 0 if each step came out as announced, 1 otherwise. Runs on the main thread.
 */
public final class PlatformDemo {
    private static final int OK = 200;
    private static final int TRIES = 200;
    private static final int PAUSE_MILLIS = 50;

    private final PrintStream out;
    private final SoakFleet fleet;
    private final SoakCaller caller = new SoakCaller("demo", List.of(), 1);
    private boolean allAsAnnounced = true;

    private PlatformDemo(PrintStream out, SoakFleet fleet) {
        this.out = out;
        this.fleet = fleet;
    }

    /** Runs the steps. */
    public static void main(String[] _arguments) throws InterruptedException, IOException {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host,connection");
        Path logs = Files.createTempDirectory("heatherloft-demo");
        System.exit(run(System.out, logs) ? 0 : 1);
    }

    /** Runs the steps and returns true if each came out as announced. */
    static boolean run(PrintStream out, Path logs) throws InterruptedException {
        try (SoakFleet fleet = new SoakFleet(logs, 1)) {
            return new PlatformDemo(out, fleet).run(logs);
        }
    }

    private boolean run(Path logs) throws InterruptedException {
        HostProcess host = fleet.hosts().get(0);
        out.println("one host at " + host.callerAddress() + ", stand-ins of a store and of five backend servers");
        show("a lookup, sent while the host starts", Kind.LOOKUP, host);
        show("a stream", Kind.STREAM, host);
        fleet.remove("desk-1");
        fleet.remove("desk-2");
        show("a booking after two of three servers left", Kind.BOOKING, host);
        fleet.onLoop(() -> fleet.store().setFault(StoreStandIn.Fault.REFUSING));
        show("a lookup while the store refuses every call", Kind.LOOKUP, host);
        fleet.onLoop(() -> fleet.store().setFault(StoreStandIn.Fault.NONE));
        host.kill();
        host.start();
        show("a stream, sent while the host starts anew after a kill", Kind.STREAM, host);
        int code = host.terminate();
        announce("SIGTERM", code == 0, "exit code " + code);
        out.println("the host's log lines: " + logs);
        return allAsAnnounced;
    }

    private void show(String step, Kind kind, HostProcess host) throws InterruptedException {
        SoakCaller.Exchange exchange = caller.send(kind, host.callerAddress());
        for (int tries = 0; tries < TRIES && exchange.answer() == null; tries++) {
            Thread.sleep(PAUSE_MILLIS);
            exchange = caller.send(kind, host.callerAddress());
        }
        if (exchange.answer() == null) {
            announce(step, false, "no answer");
            return;
        }
        PromiseCheck.Received answer = exchange.answer();
        String body = kind == Kind.STREAM
                ? answer.body().lines().filter(line -> line.startsWith("id:")).count() + " events"
                : answer.body();
        announce(step, answer.status() == OK, answer.status() + ", " + body + ", seal " + answer.seal());
    }

    private void announce(String step, boolean asAnnounced, String result) {
        allAsAnnounced &= asAnnounced;
        out.println((asAnnounced ? "  " : "! ") + step + ": " + result);
    }
}
