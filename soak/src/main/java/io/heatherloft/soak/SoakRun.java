package io.heatherloft.soak;

import io.heatherloft.standins.platform.RunnerStandIn;
import io.heatherloft.standins.platform.StoreStandIn;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * A soak run with one seed. Injects random, possibly overlapping faults while callers send requests, then clears the
 * faults and checks that every host serves again.
 *
 * <p>Confined to one thread, except for the callers, which each run in their own.
 */
final class SoakRun {
    private static final int CALLERS = 4;
    private static final double SERVER_LIMIT = 5;
    private static final int MAX_PAUSE_MILLIS = 500;
    private static final int MAX_FREEZE_MILLIS = 1_500;
    // Bounds the wait of a run that has already failed; has no effect on the others.
    private static final int MAX_RECOVERY_ATTEMPTS = 300;
    private static final int RECOVERY_POLL_MILLIS = 100;

    private final long seed;
    private final int steps;
    private final int hostCount;
    private final Path directory;
    private final List<String> builds;
    private final Random random;
    private final InvariantChecker checker = new InvariantChecker();
    private final List<String> trace = new ArrayList<>();

    SoakRun(long seed, int steps, int hostCount, Path directory) {
        this(seed, steps, hostCount, directory, List.of(System.getProperty("java.class.path")));
    }

    /**
     * Creates a run.
     *
     * @param builds class paths of the builds that each host runs, one after the other
     */
    SoakRun(long seed, int steps, int hostCount, Path directory, List<String> builds) {
        this.builds = builds;
        this.hostCount = hostCount;
        this.seed = seed;
        this.steps = steps;
        this.directory = directory;
        this.random = new Random(seed);
    }

    /** Returns the injected faults in order, followed by a summary once the run has ended. */
    List<String> trace() {
        return trace;
    }

    /** Runs to completion and returns the invariant violations. Host logs are written to the directory. */
    List<String> run() throws InterruptedException {
        try (SoakFleet fleet = new SoakFleet(directory, hostCount, builds)) {
            awaitServing(fleet, "start");
            List<String> addresses =
                    fleet.hosts().stream().map(HostProcess::callerAddress).toList();
            List<SoakCaller> callers = IntStream.range(0, CALLERS)
                    .mapToObj(caller -> new SoakCaller("s" + seed + "c" + caller, addresses, seed * CALLERS + caller))
                    .toList();
            List<Thread> threads = callers.stream().map(Thread::new).toList();
            threads.forEach(Thread::start);
            for (int step = 0; step < steps; step++) {
                injectFault(fleet);
                Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
            }
            clearFaults(fleet);
            awaitServing(fleet, "calm");
            callers.forEach(SoakCaller::stop);
            for (Thread thread : threads) {
                thread.join();
            }
            TroubledServerChecks checks = new TroubledServerChecks(fleet, checker, seed);
            checks.checkCrashingPrompt();
            checks.checkCrashingRequest();
            checks.checkServerLimit();
            // Builds before this one do not read what leaving servers say, and some do not follow evacuations.
            if (builds.size() == 1) {
                checks.checkLeavingServer();
                checks.checkEvacuatedZone();
            }
            for (HostProcess host : fleet.hosts()) {
                int code = host.terminate();
                if (code != 0) {
                    checker.addFinding(host.callerAddress() + ": exited with code " + code + " after SIGTERM");
                }
            }
            checkInvariants(fleet, callers);
        }
        return checker.findings();
    }

    private void injectFault(SoakFleet fleet) throws InterruptedException {
        HostProcess host = fleet.hosts().get(random.nextInt(hostCount));
        List<String> ids = List.copyOf(fleet.backends().keySet());
        String id = ids.get(random.nextInt(ids.size()));
        FaultProxy.Fault[] proxyFaults = FaultProxy.Fault.values();
        StoreStandIn.Fault[] storeFaults = StoreStandIn.Fault.values();
        RunnerStandIn.Act[] acts = RunnerStandIn.Act.values();
        switch (random.nextInt(13)) {
            case 0 -> {
                trace.add("kill " + host.callerAddress());
                host.kill();
                host.start();
            }
            case 1 -> {
                trace.add("freeze " + host.callerAddress());
                host.sendSignal("STOP");
                Thread.sleep(random.nextInt(MAX_FREEZE_MILLIS));
                host.sendSignal("CONT");
            }
            case 2 -> {
                trace.add("terminate " + host.callerAddress());
                int code = host.terminate();
                if (code != 0) {
                    checker.addFinding(host.callerAddress() + ": exited with code " + code + " after SIGTERM");
                }
                host.start();
            }
            case 3 -> {
                trace.add("send SIGHUP to " + host.callerAddress());
                host.sendSignal("HUP");
            }
            case 4 -> {
                StoreStandIn.Fault fault = storeFaults[random.nextInt(storeFaults.length)];
                trace.add("store " + fault);
                fleet.runOnLoop(() -> fleet.store().setFault(fault));
            }
            case 5 -> {
                trace.add("store drops its history");
                fleet.runOnLoop(() -> fleet.store().compactHistory());
            }
            case 6 -> {
                FaultProxy.Fault fault = proxyFaults[random.nextInt(proxyFaults.length)];
                trace.add("proxy of store " + fault);
                fleet.runOnLoop(() -> fleet.proxies().get("store").setFault(fault));
            }
            case 7 -> {
                FaultProxy.Fault fault = proxyFaults[random.nextInt(proxyFaults.length)];
                trace.add("proxy of " + id + ' ' + fault);
                fleet.runOnLoop(() -> fleet.proxies().get(id).setFault(fault));
            }
            case 8 -> {
                trace.add("reset connections of " + id);
                fleet.runOnLoop(() -> fleet.proxies().get(id).resetAll());
            }
            case 9 -> {
                RunnerStandIn.Act act = acts[random.nextInt(acts.length)];
                trace.add(id + " next requests: " + act);
                fleet.runOnLoop(() -> fleet.backends().get(id).enqueueActs(act, act, act));
            }
            case 10 -> {
                OptionalDouble limit = random.nextBoolean() ? OptionalDouble.of(SERVER_LIMIT) : OptionalDouble.empty();
                trace.add(id + " names limit " + limit);
                fleet.runOnLoop(() -> fleet.backends().get(id).setRequestLimit(limit));
            }
            case 11 -> {
                boolean started = random.nextBoolean();
                trace.add("server whose streams end with their connection: " + (started ? "start" : "stop"));
                fleet.setClosingServer(started);
            }
            default -> {
                trace.add("update configuration, deregister and register " + id);
                fleet.publishNextConfiguration();
                fleet.deregisterBackend(id);
                fleet.registerBackend(id);
            }
        }
    }

    private static void clearFaults(SoakFleet fleet) throws InterruptedException {
        fleet.runOnLoop(() -> {
            fleet.store().setFault(StoreStandIn.Fault.NONE);
            fleet.proxies().values().forEach(proxy -> proxy.setFault(FaultProxy.Fault.NONE));
            fleet.backends().values().forEach(backend -> backend.setRequestLimit(OptionalDouble.empty()));
        });
        fleet.endClosingServer();
        for (HostProcess host : fleet.hosts()) {
            host.sendSignal("CONT");
        }
    }

    private void awaitServing(SoakFleet fleet, String phase) throws InterruptedException {
        for (HostProcess host : fleet.hosts()) {
            SoakCaller caller = new SoakCaller("s" + seed + phase + host.callerAddress(), List.of(), seed);
            int attempts = 0;
            boolean serving = false;
            while (!serving && attempts < MAX_RECOVERY_ATTEMPTS) {
                SoakCaller.Exchange exchange = caller.send(InvariantChecker.Kind.LOOKUP, host.callerAddress());
                checker.onSent(exchange.request());
                serving = exchange.response() != null && exchange.response().status() == 200;
                attempts++;
                if (!serving) {
                    Thread.sleep(RECOVERY_POLL_MILLIS);
                }
            }
            if (!serving) {
                checker.addFinding(host.callerAddress() + ": does not serve requests in phase " + phase
                        + (host.isAlive()
                                ? ""
                                : ", its process exited with code " + host.exitCode() + ": " + host.lastLogLine()));
            }
        }
    }

    private void checkInvariants(SoakFleet fleet, List<SoakCaller> callers) {
        Map<String, Integer> statuses = new HashMap<>();
        List<SoakCaller.Exchange> exchanges =
                callers.stream().flatMap(caller -> caller.exchanges().stream()).toList();
        exchanges.forEach(exchange -> checker.onSent(exchange.request()));
        fleet.runOnLoop(() -> fleet.backends().values().stream()
                .flatMap(backend -> backend.executedRequests().stream())
                .forEach(checker::onExecuted));
        exchanges.stream().filter(exchange -> exchange.response() != null).forEach(exchange -> {
            statuses.put(exchange.request().id(), exchange.response().status());
            checker.onReceived(exchange.request(), exchange.response(), SoakFleet.EVENTS_PER_STREAM);
        });
        checker.checkFinalState(statuses);
        trace.add(exchanges.size() + " requests, " + statuses.size() + " answered, " + checker.executedRequestCount()
                + " executed");
        if (checker.executedRequestCount() == 0) {
            checker.addFinding("no request was executed");
        }
    }
}
