package io.heatherloft.daemon.fakes;

import io.heatherloft.daemon.fakes.SimulatedFleet.Host;
import io.heatherloft.ports.configuration.ConfigurationHead;
import io.heatherloft.ports.configuration.ConfigurationRepository;
import io.heatherloft.ports.loop.Futures;
import io.heatherloft.ports.store.StoreValue;
import io.heatherloft.standins.EngineStandIn;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/** Sends random requests and injects random faults from a seed; {@link GuaranteeChecks} runs after each step. */
public final class RandomScenario {
    private static final int HOSTS = 4;
    private static final int STEPS = 80;
    private static final long STEP_MILLIS = 500L;
    private static final long MIN_HOST_LOSS_INTERVAL_MILLIS = 20_000L;

    final SimulatedFleet fleet;
    final DurableLedger durableLedger;
    final List<SentRequest> sentRequests = new ArrayList<>();
    final Map<Integer, SampleConfiguration> submittedConfigurations = new HashMap<>();
    final TreeMap<Long, AcceptedGeneration> acceptedGenerations = new TreeMap<>();
    final Map<String, Long> lastHostFaultMillis = new HashMap<>();
    long lastStoreFaultMillis;
    boolean storeDown;
    private final Random random;
    private final List<String> trace = new ArrayList<>();
    private final GuaranteeChecks checks;
    private long lastHostLossMillis;
    private boolean hostKilledInOutage;
    private int nextNumber;

    public RandomScenario(long seed) {
        fleet = new SimulatedFleet(seed, HOSTS);
        durableLedger = new DurableLedger(fleet.store);
        random = new Random(seed * 31 + 7);
        fleet.store.onWrite(this::recordAcceptedGeneration);
        checks = new GuaranteeChecks(this);
    }

    /** Runs the scenario; throws a {@link GuaranteeChecks.GuaranteeViolationException} if a guarantee is violated. */
    public RandomScenario run() {
        apply(new SampleConfiguration());
        fleet.scheduler.advance(10_000);
        for (int step = 0; step < STEPS; step++) {
            runRandomStep();
            fleet.scheduler.advance(STEP_MILLIS);
            checks.afterStep();
        }
        clearFaults();
        fleet.scheduler.advance(200_000);
        checks.afterRun();
        return this;
    }

    public List<String> trace() {
        return trace;
    }

    private void runRandomStep() {
        int count = 1 + random.nextInt(4);
        for (int index = 0; index < count; index++) {
            sendRandomRequest();
        }
        switch (random.nextInt(14)) {
            case 0 -> toggleStore();
            case 1 -> setResponseLoss();
            case 2 -> togglePause();
            case 3 -> killAndRestartHost();
            case 4 -> setIsolation();
            case 5 -> crashOrRestartBackend();
            case 6 -> startLeavingBackend();
            case 7 -> setBreakProbability();
            case 8 -> apply(randomConfiguration());
            case 9 -> {
                apply(randomConfiguration());
                apply(randomConfiguration());
            }
            case 10 -> sendCrashingRequests();
            case 11 -> stopAndRestartHost();
            default -> {
                // This step injects no fault.
            }
        }
    }

    private void sendRandomRequest() {
        Host host = randomHost();
        boolean resend = !sentRequests.isEmpty() && random.nextInt(4) == 0;
        if (resend) {
            SentRequest earlier = sentRequests.get(random.nextInt(sentRequests.size()));
            if (!earlier.host().equals(host) && !earlier.prompt().contains(EngineStandIn.CRASH_PROMPT)) {
                send(host, earlier.kind(), earlier.id(), earlier.prompt(), earlier.session());
            }
            return;
        }
        int number = nextNumber++;
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        String session = random.nextBoolean() ? "session-" + random.nextInt(6) : "";
        send(host, kind, "id-" + number, "question " + number, kind == Kind.BOOKING ? "" : session);
    }

    private void sendCrashingRequests() {
        String prompt = EngineStandIn.CRASH_PROMPT + " " + nextNumber;
        String id = "id-" + nextNumber++;
        for (int index = 0; index <= random.nextInt(3); index++) {
            send(randomHost(), Kind.STREAM, id + "-" + index, prompt, "");
        }
    }

    private void send(Host host, Kind kind, String id, String prompt, String session) {
        addToTrace("send " + kind + " " + id + " to " + host.id());
        FakeCaller caller =
                switch (kind) {
                    case BOOKING -> fleet.book(host, prompt, id);
                    case STREAM -> fleet.chat(host, "small", prompt, session, id, true);
                    case WHOLE -> fleet.chat(host, "small", prompt, session, id, false);
                    case CASCADE -> fleet.chat(host, "summary", prompt, session, id, random.nextBoolean());
                };
        sentRequests.add(new SentRequest(host, kind, id, prompt, session, caller, fleet.scheduler.nowMillis()));
    }

    private Host randomHost() {
        List<Host> live = fleet.liveHosts();
        return live.get(random.nextInt(live.size()));
    }

    private void toggleStore() {
        storeDown = !storeDown;
        hostKilledInOutage = false;
        lastStoreFaultMillis = fleet.scheduler.nowMillis();
        addToTrace("store down " + storeDown);
        fleet.store.setDown(storeDown);
    }

    private void setResponseLoss() {
        double probability = random.nextBoolean() ? 0.3 : 0;
        addToTrace("response loss probability " + probability);
        fleet.store.setResponseLossProbability(probability);
    }

    private void togglePause() {
        Host host = randomHost();
        recordHostFault(host);
        if (host.loop().isPaused()) {
            addToTrace("resume " + host.id());
            host.loop().resume();
        } else {
            addToTrace("pause " + host.id());
            host.loop().pause();
        }
    }

    private void killAndRestartHost() {
        long now = fleet.scheduler.nowMillis();
        boolean allowed = now - lastHostLossMillis > MIN_HOST_LOSS_INTERVAL_MILLIS
                && fleet.liveHosts().size() == HOSTS
                && !(storeDown && hostKilledInOutage);
        if (!allowed) {
            return;
        }
        lastHostLossMillis = now;
        hostKilledInOutage = storeDown;
        Host host = randomHost();
        addToTrace("kill " + host.id());
        checks.beforeKill(host);
        host.loop().kill();
        scheduleRestart(host.id());
    }

    private void scheduleRestart(String id) {
        fleet.scheduler.newLoop().schedule(1_000 + random.nextInt(6_000), () -> restart(id));
    }

    private void restart(String id) {
        addToTrace("restart " + id);
        Host replacement = fleet.start(id);
        recordHostFault(replacement);
        fleet.peers.setIsolated(replacement.address(), false);
    }

    private void stopAndRestartHost() {
        long now = fleet.scheduler.nowMillis();
        Host host = randomHost();
        boolean allowed = now - lastHostLossMillis > MIN_HOST_LOSS_INTERVAL_MILLIS
                && fleet.liveHosts().size() == HOSTS
                && !storeDown
                && !host.loop().isPaused();
        if (!allowed) {
            return;
        }
        lastHostLossMillis = now;
        addToTrace("stop " + host.id());
        recordHostFault(host);
        host.loop()
                .execute(() -> Futures.onResult(host.core().stop(500, 30_000), _done -> {
                    addToTrace("stopped " + host.id());
                    checks.afterStop(host);
                    host.loop().kill();
                    scheduleRestart(host.id());
                }));
    }

    private void setIsolation() {
        Host host = randomHost();
        boolean isolate = random.nextBoolean();
        addToTrace("isolate " + host.id() + " " + isolate);
        recordHostFault(host);
        fleet.peers.setIsolated(host.address(), isolate);
    }

    private void crashOrRestartBackend() {
        String address = randomBackend();
        boolean crash = random.nextBoolean();
        addToTrace((crash ? "crash " : "restart ") + address);
        if (crash) {
            fleet.backends.crash(address);
        } else {
            fleet.backends.restart(address);
        }
    }

    private void startLeavingBackend() {
        String address = randomBackend();
        addToTrace("start leaving " + address);
        fleet.backends.startLeaving(address, fleet.scheduler.nowMillis());
    }

    private String randomBackend() {
        List<String> addresses = List.copyOf(fleet.backends.addresses());
        return addresses.get(random.nextInt(addresses.size()));
    }

    private void setBreakProbability() {
        double probability = random.nextBoolean() ? 0.2 : 0;
        addToTrace("connection break probability " + probability);
        fleet.backends.setBreakProbability(probability);
    }

    private SampleConfiguration randomConfiguration() {
        SampleConfiguration configuration = new SampleConfiguration().sharePercent(random.nextInt(101));
        if (random.nextInt(3) == 0) {
            configuration.withdrawFirstVersion();
        } else if (random.nextInt(3) == 0) {
            configuration.disallowSecondVersion();
        }
        return random.nextBoolean() ? configuration.moveWithdrawnSessions() : configuration;
    }

    private void apply(SampleConfiguration configuration) {
        int number = submittedConfigurations.size();
        addToTrace("apply operator-" + number);
        submittedConfigurations.put(number, configuration);
        Futures.onComplete(fleet.apply(configuration), (outcome, _failure) -> {
            boolean conflict = outcome instanceof ConfigurationRepository.ApplyOutcome.Conflict;
            if (conflict) {
                checks.afterConflict(number);
            }
            addToTrace("operator-" + number + " " + outcome);
        });
    }

    private void recordAcceptedGeneration(StoreValue value) {
        if (value.key().equals(ConfigurationRepository.HEAD_KEY)) {
            ConfigurationHead head = ConfigurationHead.parse(value.value().toText());
            int operator = Integer.parseInt(head.writer().substring("operator-".length()));
            acceptedGenerations.put(
                    head.generation(),
                    new AcceptedGeneration(
                            submittedConfigurations.get(operator), operator, fleet.scheduler.nowMillis()));
        }
    }

    private void clearFaults() {
        addToTrace("clear faults");
        storeDown = false;
        fleet.store.setDown(false);
        fleet.store.setResponseLossProbability(0);
        fleet.backends.setBreakProbability(0);
        fleet.backends.addresses().forEach(fleet.backends::restart);
        fleet.liveHosts().forEach(host -> {
            fleet.peers.setIsolated(host.address(), false);
            if (host.loop().isPaused()) {
                host.loop().resume();
            }
            recordHostFault(host);
        });
    }

    private void recordHostFault(Host host) {
        lastHostFaultMillis.put(host.id(), fleet.scheduler.nowMillis());
    }

    void addToTrace(String event) {
        trace.add((fleet.scheduler.nowMillis() - SimulatedFleet.START_MILLIS) + " " + event);
    }

    /** Kind of a request. */
    public enum Kind {
        STREAM,
        WHOLE,
        CASCADE,
        BOOKING
    }

    /** A request sent to one host. */
    public record SentRequest(
            Host host, Kind kind, String id, String prompt, String session, FakeCaller caller, long atMillis) {}

    /** A configuration generation that the store accepted. */
    public record AcceptedGeneration(SampleConfiguration configuration, int operator, long atMillis) {}
}
