package io.heatherloft.daemon.fakes;

import io.heatherloft.daemon.fakes.FakeFleet.Host;
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

/** A run of random requests and faults from a seed; {@link PromiseChecks} judges it after each step. */
public final class RandomScenario {
    private static final int HOSTS = 4;
    private static final int STEPS = 80;
    private static final long STEP_MILLIS = 500L;
    private static final long KILL_PAUSE_MILLIS = 20_000L;

    final FakeFleet fleet;
    final WrittenLedger written;
    final List<Send> sends = new ArrayList<>();
    final Map<Integer, FakeConfiguration> submitted = new HashMap<>();
    final TreeMap<Long, Accepted> accepted = new TreeMap<>();
    final Map<String, Long> disturbedAt = new HashMap<>();
    long storeDisturbedAt;
    boolean storeDown;
    private final Random random;
    private final List<String> trace = new ArrayList<>();
    private final PromiseChecks checks;
    private long lastKillMillis;
    private boolean killedInOutage;
    private int numbers;

    public RandomScenario(long seed) {
        fleet = new FakeFleet(seed, HOSTS);
        written = new WrittenLedger(fleet.store);
        random = new Random(seed * 31 + 7);
        fleet.store.onWrite(this::noticeHead);
        checks = new PromiseChecks(this);
    }

    /** Runs the scenario; throws an assertion error with the trace if a promise is broken. */
    public RandomScenario run() {
        apply(new FakeConfiguration());
        fleet.schedule.advance(10_000);
        for (int step = 0; step < STEPS; step++) {
            act();
            fleet.schedule.advance(STEP_MILLIS);
            checks.afterStep();
        }
        heal();
        fleet.schedule.advance(200_000);
        checks.atEnd();
        return this;
    }

    public List<String> trace() {
        return trace;
    }

    private void act() {
        int count = 1 + random.nextInt(4);
        for (int index = 0; index < count; index++) {
            sendSomething();
        }
        switch (random.nextInt(14)) {
            case 0 -> toggleStore();
            case 1 -> setLostAnswers();
            case 2 -> togglePause();
            case 3 -> killOrRestart();
            case 4 -> toggleCut();
            case 5 -> crashOrRestartBackend();
            case 6 -> leaveOrReturnBackend();
            case 7 -> setBreakage();
            case 8 -> apply(randomConfiguration());
            case 9 -> {
                apply(randomConfiguration());
                apply(randomConfiguration());
            }
            case 10 -> sendPoison();
            case 11 -> stopAndReplace();
            default -> {
                // Nothing but requests in this step.
            }
        }
    }

    private void sendSomething() {
        Host host = randomHost();
        boolean resend = !sends.isEmpty() && random.nextInt(4) == 0;
        if (resend) {
            Send earlier = sends.get(random.nextInt(sends.size()));
            if (!earlier.host().equals(host) && !earlier.prompt().contains(EngineStandIn.CRASH_PROMPT)) {
                send(host, earlier.kind(), earlier.id(), earlier.prompt(), earlier.session());
            }
            return;
        }
        int number = numbers++;
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        String session = random.nextBoolean() ? "session-" + random.nextInt(6) : "";
        send(host, kind, "id-" + number, "question " + number, kind == Kind.BOOKING ? "" : session);
    }

    private void sendPoison() {
        String prompt = EngineStandIn.CRASH_PROMPT + " " + numbers;
        String id = "id-" + numbers++;
        for (int index = 0; index <= random.nextInt(3); index++) {
            send(randomHost(), Kind.STREAM, id + "-" + index, prompt, "");
        }
    }

    private void send(Host host, Kind kind, String id, String prompt, String session) {
        note("send " + kind + " " + id + " to " + host.id());
        FakeCaller caller =
                switch (kind) {
                    case BOOKING -> fleet.book(host, prompt, id);
                    case STREAM -> fleet.chat(host, "small", prompt, session, id, true);
                    case WHOLE -> fleet.chat(host, "small", prompt, session, id, false);
                    case CASCADE -> fleet.chat(host, "summary", prompt, session, id, random.nextBoolean());
                };
        sends.add(new Send(host, kind, id, prompt, session, caller, fleet.schedule.nowMillis()));
    }

    private Host randomHost() {
        List<Host> live = fleet.liveHosts();
        return live.get(random.nextInt(live.size()));
    }

    private void toggleStore() {
        storeDown = !storeDown;
        killedInOutage = false;
        storeDisturbedAt = fleet.schedule.nowMillis();
        note("store down " + storeDown);
        fleet.store.setDown(storeDown);
    }

    private void setLostAnswers() {
        double probability = random.nextBoolean() ? 0.3 : 0;
        note("lost answers " + probability);
        fleet.store.setLostAnswers(probability);
    }

    private void togglePause() {
        Host host = randomHost();
        disturb(host);
        if (host.loop().isPaused()) {
            note("resume " + host.id());
            host.loop().resume();
        } else {
            note("pause " + host.id());
            host.loop().pause();
        }
    }

    private void killOrRestart() {
        long now = fleet.schedule.nowMillis();
        boolean allowed = now - lastKillMillis > KILL_PAUSE_MILLIS
                && fleet.liveHosts().size() == HOSTS
                && !(storeDown && killedInOutage);
        if (!allowed) {
            return;
        }
        lastKillMillis = now;
        killedInOutage = storeDown;
        Host host = randomHost();
        note("kill " + host.id());
        checks.beforeKill(host);
        host.loop().kill();
        restartLater(host.id());
    }

    private void restartLater(String id) {
        fleet.schedule.newLoop().schedule(1_000 + random.nextInt(6_000), () -> restart(id));
    }

    private void restart(String id) {
        note("restart " + id);
        Host replacement = fleet.start(id);
        disturb(replacement);
        fleet.peers.setCut(replacement.address(), false);
    }

    private void stopAndReplace() {
        long now = fleet.schedule.nowMillis();
        Host host = randomHost();
        boolean allowed = now - lastKillMillis > KILL_PAUSE_MILLIS
                && fleet.liveHosts().size() == HOSTS
                && !storeDown
                && !host.loop().isPaused();
        if (!allowed) {
            return;
        }
        lastKillMillis = now;
        note("stop " + host.id());
        disturb(host);
        host.loop()
                .execute(() -> Futures.onResult(host.core().stop(500, 30_000), _done -> {
                    note("stopped " + host.id());
                    checks.afterStop(host);
                    host.loop().kill();
                    restartLater(host.id());
                }));
    }

    private void toggleCut() {
        Host host = randomHost();
        boolean cut = random.nextBoolean();
        note("cut " + host.id() + " " + cut);
        disturb(host);
        fleet.peers.setCut(host.address(), cut);
    }

    private void crashOrRestartBackend() {
        String address = randomBackend();
        boolean crash = random.nextBoolean();
        note((crash ? "crash " : "restart ") + address);
        if (crash) {
            fleet.backends.crash(address);
        } else {
            fleet.backends.restart(address);
        }
    }

    private void leaveOrReturnBackend() {
        String address = randomBackend();
        note("leave " + address);
        fleet.backends.leave(address, fleet.schedule.nowMillis());
    }

    private String randomBackend() {
        List<String> addresses = List.copyOf(fleet.backends.addresses());
        return addresses.get(random.nextInt(addresses.size()));
    }

    private void setBreakage() {
        double probability = random.nextBoolean() ? 0.2 : 0;
        note("breakage " + probability);
        fleet.backends.setBreakage(probability);
    }

    private FakeConfiguration randomConfiguration() {
        FakeConfiguration configuration = new FakeConfiguration().sharePercent(random.nextInt(101));
        if (random.nextInt(3) == 0) {
            configuration.withdrawFirst();
        } else if (random.nextInt(3) == 0) {
            configuration.forbidSecond();
        }
        return random.nextBoolean() ? configuration.moveWithdrawnSessions() : configuration;
    }

    private void apply(FakeConfiguration configuration) {
        int number = submitted.size();
        note("apply operator-" + number);
        submitted.put(number, configuration);
        Futures.onComplete(fleet.apply(configuration), (outcome, _failure) -> {
            boolean conflict = outcome instanceof ConfigurationRepository.ApplyOutcome.Conflict;
            if (conflict) {
                checks.afterConflict(number);
            }
            note("operator-" + number + " " + outcome);
        });
    }

    private void noticeHead(StoreValue value) {
        if (value.key().equals(ConfigurationRepository.HEAD_KEY)) {
            ConfigurationHead head = ConfigurationHead.parse(value.value().toText());
            int operator = Integer.parseInt(head.writer().substring("operator-".length()));
            accepted.put(
                    head.generation(), new Accepted(submitted.get(operator), operator, fleet.schedule.nowMillis()));
        }
    }

    private void heal() {
        note("heal");
        storeDown = false;
        fleet.store.setDown(false);
        fleet.store.setLostAnswers(0);
        fleet.backends.setBreakage(0);
        fleet.backends.addresses().forEach(fleet.backends::restart);
        fleet.liveHosts().forEach(host -> {
            fleet.peers.setCut(host.address(), false);
            if (host.loop().isPaused()) {
                host.loop().resume();
            }
            disturb(host);
        });
    }

    private void disturb(Host host) {
        disturbedAt.put(host.id(), fleet.schedule.nowMillis());
    }

    void note(String event) {
        trace.add((fleet.schedule.nowMillis() - FakeFleet.START_MILLIS) + " " + event);
    }

    /** What is asked. */
    public enum Kind {
        STREAM,
        WHOLE,
        CASCADE,
        BOOKING
    }

    /** A request as it was sent to one host. */
    public record Send(
            Host host, Kind kind, String id, String prompt, String session, FakeCaller caller, long atMillis) {}

    /** A generation that stands in the store. */
    public record Accepted(FakeConfiguration configuration, int operator, long atMillis) {}
}
