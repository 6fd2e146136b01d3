package io.heatherloft.soak;

import io.heatherloft.standins.platform.RunnerStandIn;
import io.heatherloft.standins.platform.StoreStandIn;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * One run of a seed: faults in series and overlapping while callers go on, then a calm in which all must serve again.
 *
 * <p>Confined to one thread, but for the callers' own.
 */
final class SoakRun {
    private static final int HOSTS = 3;
    private static final int CALLERS = 4;
    private static final int LONGEST_PAUSE_MILLIS = 500;
    private static final int LONGEST_FREEZE_MILLIS = 1_500;
    // Only ends a run that has failed.
    private static final int RECOVERY_TRIES = 300;
    private static final int RECOVERY_PAUSE_MILLIS = 100;

    private final long seed;
    private final int steps;
    private final Path directory;
    private final Random random;
    private final PromiseCheck check = new PromiseCheck();
    private final List<String> trace = new ArrayList<>();

    SoakRun(long seed, int steps, Path directory) {
        this.seed = seed;
        this.steps = steps;
        this.directory = directory;
        this.random = new Random(seed);
    }

    /** Returns the faults injected, in order. */
    List<String> trace() {
        return trace;
    }

    /** Runs and returns what broke a promise; the hosts' logs are in the directory. */
    List<String> run() throws InterruptedException {
        try (SoakFleet fleet = new SoakFleet(directory, HOSTS)) {
            awaitServing(fleet, "start");
            List<String> addresses =
                    fleet.hosts().stream().map(HostProcess::callerAddress).toList();
            List<SoakCaller> callers = IntStream.range(0, CALLERS)
                    .mapToObj(caller -> new SoakCaller("s" + seed + "c" + caller, addresses, seed * CALLERS + caller))
                    .toList();
            List<Thread> threads = callers.stream().map(Thread::new).toList();
            threads.forEach(Thread::start);
            for (int step = 0; step < steps; step++) {
                inject(fleet);
                Thread.sleep(random.nextInt(LONGEST_PAUSE_MILLIS));
            }
            calm(fleet);
            awaitServing(fleet, "calm");
            callers.forEach(SoakCaller::stop);
            for (Thread thread : threads) {
                thread.join();
            }
            for (HostProcess host : fleet.hosts()) {
                int code = host.terminate();
                if (code != 0) {
                    check.add(host.callerAddress() + ": ended with " + code + " after SIGTERM");
                }
            }
            evaluate(fleet, callers);
        }
        return check.findings();
    }

    private void inject(SoakFleet fleet) throws InterruptedException {
        HostProcess host = fleet.hosts().get(random.nextInt(HOSTS));
        List<String> ids = List.copyOf(fleet.backends().keySet());
        String id = ids.get(random.nextInt(ids.size()));
        FaultyLink.Fault[] linkFaults = FaultyLink.Fault.values();
        StoreStandIn.Fault[] storeFaults = StoreStandIn.Fault.values();
        RunnerStandIn.Act[] acts = RunnerStandIn.Act.values();
        switch (random.nextInt(11)) {
            case 0 -> {
                trace.add("kill " + host.callerAddress());
                host.kill();
                host.start();
            }
            case 1 -> {
                trace.add("freeze " + host.callerAddress());
                host.signal("STOP");
                Thread.sleep(random.nextInt(LONGEST_FREEZE_MILLIS));
                host.signal("CONT");
            }
            case 2 -> {
                trace.add("terminate " + host.callerAddress());
                int code = host.terminate();
                if (code != 0) {
                    check.add(host.callerAddress() + ": ended with " + code + " after SIGTERM");
                }
                host.start();
            }
            case 3 -> {
                trace.add("hang up " + host.callerAddress());
                host.signal("HUP");
            }
            case 4 -> {
                StoreStandIn.Fault fault = storeFaults[random.nextInt(storeFaults.length)];
                trace.add("store " + fault);
                fleet.onLoop(() -> fleet.store().setFault(fault));
            }
            case 5 -> {
                trace.add("store forgets its history");
                fleet.onLoop(() -> fleet.store().compactHistory());
            }
            case 6 -> {
                FaultyLink.Fault fault = linkFaults[random.nextInt(linkFaults.length)];
                trace.add("link of store " + fault);
                fleet.onLoop(() -> fleet.links().get("store").setFault(fault));
            }
            case 7 -> {
                FaultyLink.Fault fault = linkFaults[random.nextInt(linkFaults.length)];
                trace.add("link of " + id + ' ' + fault);
                fleet.onLoop(() -> fleet.links().get(id).setFault(fault));
            }
            case 8 -> {
                trace.add("reset links of " + id);
                fleet.onLoop(() -> fleet.links().get(id).resetAll());
            }
            case 9 -> {
                RunnerStandIn.Act act = acts[random.nextInt(acts.length)];
                trace.add(id + " does " + act);
                fleet.onLoop(() -> fleet.backends().get(id).enqueueActs(act, act, act));
            }
            default -> {
                trace.add("configuration, and " + id + " leaves and returns");
                fleet.reconfigure();
                fleet.remove(id);
                fleet.enter(id);
            }
        }
    }

    private static void calm(SoakFleet fleet) throws InterruptedException {
        fleet.onLoop(() -> {
            fleet.store().setFault(StoreStandIn.Fault.NONE);
            fleet.links().values().forEach(link -> link.setFault(FaultyLink.Fault.NONE));
        });
        for (HostProcess host : fleet.hosts()) {
            host.signal("CONT");
        }
    }

    private void awaitServing(SoakFleet fleet, String phase) throws InterruptedException {
        for (HostProcess host : fleet.hosts()) {
            SoakCaller caller = new SoakCaller("s" + seed + phase + host.callerAddress(), List.of(), seed);
            int tries = 0;
            boolean serving = false;
            while (!serving && tries < RECOVERY_TRIES) {
                SoakCaller.Exchange exchange = caller.send(PromiseCheck.Kind.LOOKUP, host.callerAddress());
                check.onSent(exchange.sent());
                serving = exchange.answer() != null && exchange.answer().status() == 200;
                tries++;
                if (!serving) {
                    Thread.sleep(RECOVERY_PAUSE_MILLIS);
                }
            }
            if (!serving) {
                check.add(host.callerAddress() + ": does not serve at " + phase
                        + (host.isAlive() ? "" : ", its process ended with " + host.exitCode()));
            }
        }
    }

    private void evaluate(SoakFleet fleet, List<SoakCaller> callers) {
        Map<String, Integer> statuses = new HashMap<>();
        List<SoakCaller.Exchange> exchanges =
                callers.stream().flatMap(caller -> caller.exchanges().stream()).toList();
        exchanges.forEach(exchange -> check.onSent(exchange.sent()));
        fleet.onLoop(() -> fleet.backends().values().stream()
                .flatMap(backend -> backend.executedRequests().stream())
                .forEach(check::onRun));
        exchanges.stream().filter(exchange -> exchange.answer() != null).forEach(exchange -> {
            statuses.put(exchange.sent().id(), exchange.answer().status());
            check.onReceived(exchange.sent(), exchange.answer(), SoakFleet.EVENTS);
        });
        check.onEnd(statuses);
        trace.add(exchanges.size() + " requests, " + statuses.size() + " answered, " + check.runCount() + " run");
        if (check.runCount() == 0) {
            check.add("no request ran");
        }
    }
}
