package io.heatherloft.soak;

import io.heatherloft.soak.InvariantChecker.Kind;
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
    private static final int MAX_ATTEMPTS = 200;
    private static final int RETRY_INTERVAL_MILLIS = 50;

    private final PrintStream out;
    private final SoakFleet fleet;
    private final SoakCaller caller = new SoakCaller("demo", List.of(), 1);
    private boolean allStepsPassed = true;

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
        runRequestStep("a lookup, sent while the host starts", Kind.LOOKUP, host);
        runRequestStep("a stream", Kind.STREAM, host);
        fleet.deregisterBackend("desk-1");
        fleet.deregisterBackend("desk-2");
        runRequestStep("a booking after two of three servers left", Kind.BOOKING, host);
        fleet.runOnLoop(() -> fleet.store().setFault(StoreStandIn.Fault.REFUSING));
        runRequestStep("a lookup while the store refuses every call", Kind.LOOKUP, host);
        fleet.runOnLoop(() -> fleet.store().setFault(StoreStandIn.Fault.NONE));
        host.kill();
        host.start();
        runRequestStep("a stream, sent while the host starts anew after a kill", Kind.STREAM, host);
        int code = host.terminate();
        reportStep("SIGTERM", code == 0, "exit code " + code);
        out.println("the host's log lines: " + logs);
        return allStepsPassed;
    }

    private void runRequestStep(String step, Kind kind, HostProcess host) throws InterruptedException {
        SoakCaller.Exchange exchange = caller.send(kind, host.callerAddress());
        for (int tries = 0; tries < MAX_ATTEMPTS && exchange.response() == null; tries++) {
            Thread.sleep(RETRY_INTERVAL_MILLIS);
            exchange = caller.send(kind, host.callerAddress());
        }
        if (exchange.response() == null) {
            reportStep(step, false, "no answer");
            return;
        }
        InvariantChecker.ReceivedResponse answer = exchange.response();
        String body = kind == Kind.STREAM
                ? answer.body().lines().filter(line -> line.startsWith("id:")).count() + " events"
                : answer.body();
        reportStep(step, answer.status() == OK, answer.status() + ", " + body + ", seal " + answer.seal());
    }

    private void reportStep(String step, boolean asAnnounced, String result) {
        allStepsPassed &= asAnnounced;
        out.println((asAnnounced ? "  " : "! ") + step + ": " + result);
    }
}
