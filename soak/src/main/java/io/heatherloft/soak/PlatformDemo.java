package io.heatherloft.soak;

import io.heatherloft.soak.InvariantChecker.Kind;
import io.heatherloft.standins.platform.StoreStandIn;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Demonstrates an entry host on the users' platform. The host runs in a child process; the store and the backend
 * servers are stand-ins in this process.
 *
 * <p>Exit codes: 0 if every step had the expected result, 1 otherwise. Runs on the main thread.
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

    /** Runs the demo and exits. */
    public static void main(String[] _arguments) throws InterruptedException, IOException {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host,connection");
        Path logs = Files.createTempDirectory("heatherloft-demo");
        System.exit(run(System.out, logs) ? 0 : 1);
    }

    /** Runs all steps and returns whether each had the expected result. */
    static boolean run(PrintStream out, Path logs) throws InterruptedException {
        try (SoakFleet fleet = new SoakFleet(logs, 1)) {
            return new PlatformDemo(out, fleet).run(logs);
        }
    }

    private boolean run(Path logs) throws InterruptedException {
        HostProcess host = fleet.hosts().get(0);
        out.println(
                "entry host at " + host.callerAddress() + ", with stand-ins for the store and five backend servers");
        runRequestStep("lookup sent while the host is starting", Kind.LOOKUP, host);
        runRequestStep("stream", Kind.STREAM, host);
        fleet.deregisterBackend("desk-1");
        fleet.deregisterBackend("desk-2");
        runRequestStep("booking after two of three backend servers have left", Kind.BOOKING, host);
        fleet.runOnLoop(() -> fleet.store().setFault(StoreStandIn.Fault.REFUSING));
        runRequestStep("lookup while the store refuses all requests", Kind.LOOKUP, host);
        fleet.runOnLoop(() -> fleet.store().setFault(StoreStandIn.Fault.NONE));
        host.kill();
        host.start();
        runRequestStep("stream sent while the host is restarting after a kill", Kind.STREAM, host);
        int code = host.terminate();
        reportStep("SIGTERM", code == 0, "exit code " + code);
        out.println("host logs: " + logs);
        return allStepsPassed;
    }

    private void runRequestStep(String step, Kind kind, HostProcess host) throws InterruptedException {
        SoakCaller.Exchange exchange = caller.send(kind, host.callerAddress());
        for (int attempts = 0; attempts < MAX_ATTEMPTS && exchange.response() == null; attempts++) {
            Thread.sleep(RETRY_INTERVAL_MILLIS);
            exchange = caller.send(kind, host.callerAddress());
        }
        if (exchange.response() == null) {
            reportStep(step, false, "no response");
            return;
        }
        InvariantChecker.ReceivedResponse response = exchange.response();
        String body = kind == Kind.STREAM
                ? response.body().lines().filter(line -> line.startsWith("id:")).count() + " events"
                : response.body();
        reportStep(step, response.status() == OK, response.status() + ", " + body + ", seal " + response.seal());
    }

    private void reportStep(String step, boolean passed, String result) {
        allStepsPassed &= passed;
        out.println((passed ? "  " : "! ") + step + ": " + result);
    }
}
