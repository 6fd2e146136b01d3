package io.heatherloft.daemon.fakes;

import io.heatherloft.daemon.fakes.FakeBackends.Dispatch;
import io.heatherloft.daemon.fakes.FakeFleet.Host;
import io.heatherloft.daemon.fakes.RandomScenario.Kind;
import io.heatherloft.daemon.fakes.RandomScenario.Send;
import io.heatherloft.domain.ledger.LedgerRecord;
import io.heatherloft.ports.loop.Futures;
import io.heatherloft.standins.EngineStandIn;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/** The ten promises, each judged naively from what callers, backend servers and the store saw. */
final class PromiseChecks {
    private static final long IN_FORCE_MILLIS = 8_000L;
    private static final long LEAVING_MILLIS = 5_000L;
    private static final long COPIES_THAT_MAY_BE_LOST = 2L;

    private final RandomScenario scenario;
    private final Map<Host, Long> generations = new HashMap<>();
    private final Map<String, String> sessionVersions = new HashMap<>();
    private final Map<String, Long> copiesLost = new HashMap<>();
    private final Set<Send> judged = new HashSet<>();
    private final long failedCallbacksBefore = Futures.failedCallbackCount();
    private int dispatchesJudged;
    private final Map<Dispatch, Long> generationAtDispatch = new HashMap<>();

    PromiseChecks(RandomScenario scenario) {
        this.scenario = scenario;
        scenario.fleet.backends.onDispatch(
                dispatch -> generationAtDispatch.put(dispatch, generationOf(dispatch.host())));
    }

    void afterStep() {
        judgeDispatches();
        judgeAnswers();
        judgeBills();
        judgeBookings();
        judgeGenerations();
        judgePoison();
        check(Futures.failedCallbackCount() == failedCallbacksBefore, "a callback failed");
    }

    void atEnd() {
        afterStep();
        for (Send send : scenario.sends) {
            boolean hostAlive = !send.host().loop().isDead();
            check(!hostAlive || send.caller().isEnded(), "no end for " + explain(send));
        }
        Map<String, Long> bills = scenario.written.billsByRequest();
        scenario.sends.stream()
                .filter(send -> send.caller().isFinished() && send.caller().status() / 100 == 2)
                .filter(send -> copiesLost.getOrDefault(send.id(), 0L) < COPIES_THAT_MAY_BE_LOST)
                .forEach(send -> check(bills.containsKey(send.id()), "answered but not billed: " + explain(send)));
    }

    /** Notes which bills die with a host: two lost copies within one store outage are past what is promised. */
    void beforeKill(Host host) {
        host.core().ledger().recordsNotDurable().stream()
                .filter(LedgerRecord.Settlement.class::isInstance)
                .map(LedgerRecord.Settlement.class::cast)
                .map(settlement -> WrittenLedger.requestId(settlement.key().requestId()))
                .distinct()
                .forEach(id -> copiesLost.merge(id, 1L, Long::sum));
    }

    void afterStop(Host host) {
        scenario.sends.stream()
                .filter(send -> send.host().equals(host))
                // What still stood in the listener's queue was never read, and its caller sees a refused connection.
                .filter(send -> host.core().explanations().find(send.id()).isPresent())
                .forEach(send -> check(send.caller().isEnded(), "cut off by a planned stop: " + explain(send)));
    }

    void afterConflict(int operator) {
        check(
                scenario.accepted.values().stream().noneMatch(accepted -> accepted.operator() == operator),
                "operator-" + operator + " was told of a conflict but his generation stood");
    }

    private void judgeDispatches() {
        List<Dispatch> dispatches = scenario.fleet.backends.dispatches();
        for (Dispatch dispatch : dispatches.subList(dispatchesJudged, dispatches.size())) {
            long generation = generationAtDispatch.get(dispatch);
            check(
                    isUsable(scenario.accepted.get(generation).configuration(), dispatch.version()),
                    "dispatched a version that is not allowed or withdrawn: " + dispatch);
            long leavingSince = scenario.fleet.backends.leavingSince(dispatch.address());
            check(
                    leavingSince == 0
                            || dispatch.atMillis() < leavingSince + LEAVING_MILLIS
                            || isDisturbedSince(dispatch.host(), leavingSince),
                    "dispatched to a leaving backend server: " + dispatch);
        }
        dispatchesJudged = dispatches.size();
    }

    private static boolean isUsable(FakeConfiguration configuration, String version) {
        return switch (version) {
            case "small@1" -> !configuration.isFirstWithdrawn();
            case "small@2" -> configuration.isSecondAllowed();
            default -> true;
        };
    }

    private void judgeAnswers() {
        for (Send send : scenario.sends) {
            FakeCaller caller = send.caller();
            if (!caller.isEnded() || !judged.add(send)) {
                continue;
            }
            String run = caller.header("Heatherloft-Run");
            if (run.equals("not-run")) {
                check(dispatchesOf(send) == 0, "not-run was said of a request that ran: " + send.id());
            }
            if (caller.isFinished() && caller.status() == 200 && send.kind() != Kind.BOOKING) {
                judgeText(send);
                judgeSession(send);
            }
        }
    }

    private long dispatchesOf(Send send) {
        return scenario.fleet.backends.dispatches().stream()
                .filter(dispatch -> dispatch.text().equals(send.prompt()))
                .filter(dispatch -> dispatch.host().equals(send.host().id()))
                .filter(dispatch -> dispatch.atMillis() >= send.atMillis())
                .filter(_dispatch -> scenario.sends.stream()
                                .filter(other -> other.prompt().equals(send.prompt())
                                        && other.host().equals(send.host()))
                                .count()
                        == 1)
                .count();
    }

    private void judgeText(Send send) {
        String expected = Answers.expectedText(send.caller().header("Heatherloft-Version"), send.prompt());
        boolean streamed = send.caller().body().startsWith("data:");
        String received = streamed ? Answers.streamedText(send.caller()) : Answers.wholeText(send.caller());
        check(received.equals(expected), "wrong or partial answer to " + send.id() + ": " + received);
    }

    private void judgeSession(Send send) {
        if (send.session().isEmpty()) {
            return;
        }
        String version = send.caller().header("Heatherloft-Version");
        String model = version.substring(0, version.indexOf('@'));
        // Answers may end in another order than their versions were chosen, so only the pair is judged.
        String before = sessionVersions.put(send.session() + model, version);
        boolean kept = before == null || before.equals(version);
        boolean mayDiffer = scenario.accepted.values().stream()
                .anyMatch(accepted -> before != null
                        && (!isUsable(accepted.configuration(), before)
                                || !isUsable(accepted.configuration(), version)));
        check(kept || mayDiffer, send.session() + " went from " + before + " to " + version + explain(send));
    }

    private void judgeBills() {
        Map<String, Long> bills = scenario.written.records().stream()
                .filter(LedgerRecord.Settlement.class::isInstance)
                .map(LedgerRecord.Settlement.class::cast)
                .map(settlement -> settlement.key().text())
                .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
        bills.forEach((key, count) -> check(count == 1, "billed " + count + " times: " + key));
    }

    private void judgeBookings() {
        List<String> bookings = scenario.fleet.backends.bookings();
        check(new HashSet<>(bookings).size() == bookings.size(), "a booking ran twice: " + bookings);
    }

    private void judgeGenerations() {
        long now = scenario.fleet.schedule.nowMillis();
        for (Host host : scenario.fleet.liveHosts()) {
            long generation = host.core().fleet().configuration().generation();
            long before = generations.getOrDefault(host, 0L);
            check(generation >= before, host.id() + " went back from generation " + before + " to " + generation);
            generations.put(host, generation);
            scenario.accepted.forEach((number, accepted) -> {
                boolean due = now - accepted.atMillis() > IN_FORCE_MILLIS
                        && !isFleetDisturbedSince(accepted.atMillis() - IN_FORCE_MILLIS);
                check(!due || generation >= number, host.id() + " has " + generation + ", not " + number);
            });
        }
    }

    private void judgePoison() {
        Map<String, Set<String>> lost = new HashMap<>();
        scenario.fleet.backends.dispatches().stream()
                .filter(dispatch -> dispatch.text().startsWith(EngineStandIn.CRASH_PROMPT))
                .forEach(dispatch -> lost.computeIfAbsent(dispatch.text(), _text -> new HashSet<>())
                        .add(dispatch.address()));
        lost.forEach((prompt, addresses) -> {
            long sentAt = scenario.sends.stream()
                    .filter(send -> send.prompt().equals(prompt))
                    .mapToLong(Send::atMillis)
                    .min()
                    .orElseThrow();
            check(
                    addresses.size() <= 2 || isFleetDisturbedSince(sentAt - IN_FORCE_MILLIS),
                    prompt + " reached " + addresses);
        });
    }

    private boolean isDisturbedSince(String hostId, long sinceMillis) {
        return scenario.disturbedAt.getOrDefault(hostId, 0L) >= sinceMillis - LEAVING_MILLIS;
    }

    private boolean isFleetDisturbedSince(long sinceMillis) {
        boolean hostDisturbed = scenario.disturbedAt.values().stream().anyMatch(at -> at >= sinceMillis);
        boolean anyPausedOrCut = scenario.fleet.liveHosts().size() < 4
                || scenario.fleet.liveHosts().stream()
                        .anyMatch(host -> host.loop().isPaused() || scenario.fleet.peers.isCut(host.address()));
        return hostDisturbed || anyPausedOrCut || scenario.storeDown || scenario.storeDisturbedAt >= sinceMillis;
    }

    private long generationOf(String hostId) {
        return scenario.fleet.hosts().stream()
                .filter(host -> host.id().equals(hostId))
                .findFirst()
                .orElseThrow()
                .core()
                .fleet()
                .configuration()
                .generation();
    }

    private String explain(Send send) {
        String ledger = scenario.fleet.liveHosts().stream()
                .map(host -> host.id() + " shards " + host.core().ledger().ownedShards() + " outbox "
                        + host.core().ledger().outboxSize())
                .collect(Collectors.joining("; "));
        return ledger + " " + send.id() + " on " + send.host().id()
                + send
                        .host()
                        .core()
                        .explanations()
                        .find(send.id())
                        .map(found -> found.view().events())
                        .stream()
                        .map(Object::toString)
                        .collect(Collectors.joining("\n"));
    }

    private static void check(boolean holds, String broken) {
        if (!holds) {
            throw new BrokenPromiseException(broken);
        }
    }

    /** A promise was broken. */
    static final class BrokenPromiseException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        BrokenPromiseException(String message) {
            super(message);
        }
    }
}
