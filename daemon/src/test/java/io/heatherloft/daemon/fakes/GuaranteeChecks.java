package io.heatherloft.daemon.fakes;

import io.heatherloft.daemon.fakes.FakeBackends.Dispatch;
import io.heatherloft.daemon.fakes.RandomScenario.Kind;
import io.heatherloft.daemon.fakes.RandomScenario.SentRequest;
import io.heatherloft.daemon.fakes.SimulatedFleet.Host;
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
final class GuaranteeChecks {
    private static final long PROPAGATION_LIMIT_MILLIS = 8_000L;
    private static final long LEAVING_LIMIT_MILLIS = 5_000L;
    private static final long UNPROTECTED_COPY_LOSSES = 2L;

    private final RandomScenario scenario;
    private final Map<Host, Long> lastGenerations = new HashMap<>();
    private final Map<String, String> sessionVersions = new HashMap<>();
    private final Map<String, Long> lostCopies = new HashMap<>();
    private final Set<SentRequest> checkedRequests = new HashSet<>();
    private final long failedCallbacksBefore = Futures.failedCallbackCount();
    private int checkedDispatches;
    private final Map<Dispatch, Long> generationAtDispatch = new HashMap<>();

    GuaranteeChecks(RandomScenario scenario) {
        this.scenario = scenario;
        scenario.fleet.backends.onDispatch(
                dispatch -> generationAtDispatch.put(dispatch, generationOf(dispatch.host())));
    }

    void afterStep() {
        checkDispatches();
        checkAnswers();
        checkBills();
        checkBookings();
        checkGenerations();
        checkCrashingRequests();
        check(Futures.failedCallbackCount() == failedCallbacksBefore, "a callback failed");
    }

    void afterRun() {
        afterStep();
        for (SentRequest send : scenario.sentRequests) {
            boolean hostAlive = !send.host().loop().isDead();
            check(!hostAlive || send.caller().isEnded(), "no end for " + describe(send));
        }
        Map<String, Long> bills = scenario.durableLedger.billCountsByRequest();
        scenario.sentRequests.stream()
                .filter(send -> send.caller().isFinished() && send.caller().status() / 100 == 2)
                .filter(send -> lostCopies.getOrDefault(send.id(), 0L) < UNPROTECTED_COPY_LOSSES)
                .forEach(send -> check(bills.containsKey(send.id()), "answered but not billed: " + describe(send)));
    }

    /** Notes which bills die with a host: two lost copies within one store outage are past what is promised. */
    void beforeKill(Host host) {
        host.core().ledger().recordsNotDurable().stream()
                .filter(LedgerRecord.Settlement.class::isInstance)
                .map(LedgerRecord.Settlement.class::cast)
                .map(settlement -> DurableLedger.requestId(settlement.key().requestId()))
                .distinct()
                .forEach(id -> lostCopies.merge(id, 1L, Long::sum));
    }

    void afterStop(Host host) {
        scenario.sentRequests.stream()
                .filter(send -> send.host().equals(host))
                // What still stood in the listener's queue was never read, and its caller sees a refused connection.
                .filter(send -> host.core().explanations().find(send.id()).isPresent())
                .forEach(send -> check(send.caller().isEnded(), "cut off by a planned stop: " + describe(send)));
    }

    void afterConflict(int operator) {
        check(
                scenario.acceptedGenerations.values().stream().noneMatch(accepted -> accepted.operator() == operator),
                "operator-" + operator + " was told of a conflict but his generation stood");
    }

    private void checkDispatches() {
        List<Dispatch> dispatches = scenario.fleet.backends.dispatches();
        for (Dispatch dispatch : dispatches.subList(checkedDispatches, dispatches.size())) {
            long generation = generationAtDispatch.get(dispatch);
            check(
                    isUsable(scenario.acceptedGenerations.get(generation).configuration(), dispatch.version()),
                    "dispatched a version that is not allowed or withdrawn: " + dispatch);
            long leavingSince = scenario.fleet.backends.leavingSince(dispatch.address());
            check(
                    leavingSince == 0
                            || dispatch.atMillis() < leavingSince + LEAVING_LIMIT_MILLIS
                            || hadFaultSince(dispatch.host(), leavingSince),
                    "dispatched to a leaving backend server: " + dispatch);
        }
        checkedDispatches = dispatches.size();
    }

    private static boolean isUsable(SampleConfiguration configuration, String version) {
        return switch (version) {
            case "small@1" -> !configuration.isFirstVersionWithdrawn();
            case "small@2" -> configuration.isSecondVersionAllowed();
            default -> true;
        };
    }

    private void checkAnswers() {
        for (SentRequest send : scenario.sentRequests) {
            FakeCaller caller = send.caller();
            if (!caller.isEnded() || !checkedRequests.add(send)) {
                continue;
            }
            String run = caller.header("Heatherloft-Run");
            if (run.equals("not-run")) {
                check(countDispatches(send) == 0, "not-run was said of a request that ran: " + send.id());
            }
            if (caller.isFinished() && caller.status() == 200 && send.kind() != Kind.BOOKING) {
                checkText(send);
                checkSession(send);
            }
        }
    }

    private long countDispatches(SentRequest send) {
        return scenario.fleet.backends.dispatches().stream()
                .filter(dispatch -> dispatch.text().equals(send.prompt()))
                .filter(dispatch -> dispatch.host().equals(send.host().id()))
                .filter(dispatch -> dispatch.atMillis() >= send.atMillis())
                .filter(_dispatch -> scenario.sentRequests.stream()
                                .filter(other -> other.prompt().equals(send.prompt())
                                        && other.host().equals(send.host()))
                                .count()
                        == 1)
                .count();
    }

    private void checkText(SentRequest send) {
        String expected = AnswerText.expectedText(send.caller().header("Heatherloft-Version"), send.prompt());
        boolean streamed = send.caller().body().startsWith("data:");
        String received = streamed ? AnswerText.streamedText(send.caller()) : AnswerText.unstreamedText(send.caller());
        check(received.equals(expected), "wrong or partial answer to " + send.id() + ": " + received);
    }

    private void checkSession(SentRequest send) {
        if (send.session().isEmpty()) {
            return;
        }
        String version = send.caller().header("Heatherloft-Version");
        String model = version.substring(0, version.indexOf('@'));
        // Answers may end in another order than their versions were chosen, so only the pair is judged.
        String before = sessionVersions.put(send.session() + model, version);
        boolean kept = before == null || before.equals(version);
        boolean mayDiffer = scenario.acceptedGenerations.values().stream()
                .anyMatch(accepted -> before != null
                        && (!isUsable(accepted.configuration(), before)
                                || !isUsable(accepted.configuration(), version)));
        check(kept || mayDiffer, send.session() + " went from " + before + " to " + version + describe(send));
    }

    private void checkBills() {
        Map<String, Long> bills = scenario.durableLedger.records().stream()
                .filter(LedgerRecord.Settlement.class::isInstance)
                .map(LedgerRecord.Settlement.class::cast)
                .map(settlement -> settlement.key().text())
                .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
        bills.forEach((key, count) -> check(count == 1, "billed " + count + " times: " + key));
    }

    private void checkBookings() {
        List<String> bookings = scenario.fleet.backends.bookings();
        check(new HashSet<>(bookings).size() == bookings.size(), "a booking ran twice: " + bookings);
    }

    private void checkGenerations() {
        long now = scenario.fleet.scheduler.nowMillis();
        for (Host host : scenario.fleet.liveHosts()) {
            long generation = host.core().fleet().configuration().generation();
            long before = lastGenerations.getOrDefault(host, 0L);
            check(generation >= before, host.id() + " went back from generation " + before + " to " + generation);
            lastGenerations.put(host, generation);
            scenario.acceptedGenerations.forEach((number, accepted) -> {
                boolean due = now - accepted.atMillis() > PROPAGATION_LIMIT_MILLIS
                        && !hadFleetFaultSince(accepted.atMillis() - PROPAGATION_LIMIT_MILLIS);
                check(!due || generation >= number, host.id() + " has " + generation + ", not " + number);
            });
        }
    }

    private void checkCrashingRequests() {
        Map<String, Set<String>> lost = new HashMap<>();
        scenario.fleet.backends.dispatches().stream()
                .filter(dispatch -> dispatch.text().startsWith(EngineStandIn.CRASH_PROMPT))
                .forEach(dispatch -> lost.computeIfAbsent(dispatch.text(), _text -> new HashSet<>())
                        .add(dispatch.address()));
        lost.forEach((prompt, addresses) -> {
            long sentAt = scenario.sentRequests.stream()
                    .filter(send -> send.prompt().equals(prompt))
                    .mapToLong(SentRequest::atMillis)
                    .min()
                    .orElseThrow();
            check(
                    addresses.size() <= 2 || hadFleetFaultSince(sentAt - PROPAGATION_LIMIT_MILLIS),
                    prompt + " reached " + addresses);
        });
    }

    private boolean hadFaultSince(String hostId, long sinceMillis) {
        return scenario.lastHostFaultMillis.getOrDefault(hostId, 0L) >= sinceMillis - LEAVING_LIMIT_MILLIS;
    }

    private boolean hadFleetFaultSince(long sinceMillis) {
        boolean hostDisturbed = scenario.lastHostFaultMillis.values().stream().anyMatch(at -> at >= sinceMillis);
        boolean anyPausedOrCut = scenario.fleet.liveHosts().size() < 4
                || scenario.fleet.liveHosts().stream()
                        .anyMatch(host -> host.loop().isPaused() || scenario.fleet.peers.isIsolated(host.address()));
        return hostDisturbed || anyPausedOrCut || scenario.storeDown || scenario.lastStoreFaultMillis >= sinceMillis;
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

    private String describe(SentRequest send) {
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
            throw new GuaranteeViolationException(broken);
        }
    }

    /** A promise was broken. */
    static final class GuaranteeViolationException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        GuaranteeViolationException(String message) {
            super(message);
        }
    }
}
