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

/**
 * Checks the ten guarantees of the service against what callers, backend servers and the store observed. The checks are
 * deliberately simple and share no logic with the code under test.
 */
final class GuaranteeChecks {
    /** Time within which every host must have an applied configuration. */
    private static final long PROPAGATION_LIMIT_MILLIS = 8_000L;
    /** Time after which a leaving backend server must receive no more requests. */
    private static final long LEAVING_LIMIT_MILLIS = 5_000L;
    /** A bill that lost this many copies before it was durable may never be written. */
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
        for (SentRequest request : scenario.sentRequests) {
            boolean hostAlive = !request.host().loop().isDead();
            check(!hostAlive || request.caller().isEnded(), "response never ended: " + describe(request));
        }
        Map<String, Long> bills = scenario.durableLedger.billCountsByRequest();
        scenario.sentRequests.stream()
                .filter(request ->
                        request.caller().isFinished() && request.caller().status() / 100 == 2)
                .filter(request -> lostCopies.getOrDefault(request.id(), 0L) < UNPROTECTED_COPY_LOSSES)
                .forEach(request ->
                        check(bills.containsKey(request.id()), "answered but not billed: " + describe(request)));
    }

    /**
     * Counts the copies of bills that are lost with a host. Bills that lose two copies within one store outage are not
     * covered by the guarantees.
     */
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
                .filter(request -> request.host().equals(host))
                // Requests still in the listener's queue were never read; their callers get a refused connection.
                .filter(request -> host.core().explanations().find(request.id()).isPresent())
                .forEach(request -> check(
                        request.caller().isEnded(), "response aborted by a graceful shutdown: " + describe(request)));
    }

    void afterConflict(int operator) {
        check(
                scenario.acceptedGenerations.values().stream().noneMatch(accepted -> accepted.operator() == operator),
                "operator-" + operator + " got a conflict although its own generation was accepted");
    }

    private void checkDispatches() {
        List<Dispatch> dispatches = scenario.fleet.backends.dispatches();
        for (Dispatch dispatch : dispatches.subList(checkedDispatches, dispatches.size())) {
            long generation = generationAtDispatch.get(dispatch);
            check(
                    isUsable(scenario.acceptedGenerations.get(generation).configuration(), dispatch.version()),
                    "dispatched to a version that is withdrawn or not allowed: " + dispatch);
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
        for (SentRequest request : scenario.sentRequests) {
            FakeCaller caller = request.caller();
            if (!caller.isEnded() || !checkedRequests.add(request)) {
                continue;
            }
            String run = caller.header("Heatherloft-Run");
            if (run.equals("not-run")) {
                check(
                        countDispatches(request) == 0,
                        "reported as not-run although the request was dispatched: " + request.id());
            }
            if (caller.isFinished() && caller.status() == 200 && request.kind() != Kind.BOOKING) {
                checkText(request);
                checkSession(request);
            }
        }
    }

    private long countDispatches(SentRequest request) {
        return scenario.fleet.backends.dispatches().stream()
                .filter(dispatch -> dispatch.text().equals(request.prompt()))
                .filter(dispatch -> dispatch.host().equals(request.host().id()))
                .filter(dispatch -> dispatch.atMillis() >= request.atMillis())
                .filter(_dispatch -> scenario.sentRequests.stream()
                                .filter(other -> other.prompt().equals(request.prompt())
                                        && other.host().equals(request.host()))
                                .count()
                        == 1)
                .count();
    }

    private void checkText(SentRequest request) {
        String expected = AnswerText.expectedText(request.caller().header("Heatherloft-Version"), request.prompt());
        boolean streamed = request.caller().body().startsWith("data:");
        String received =
                streamed ? AnswerText.streamedText(request.caller()) : AnswerText.unstreamedText(request.caller());
        check(received.equals(expected), "wrong or partial answer to " + request.id() + ": " + received);
    }

    private void checkSession(SentRequest request) {
        if (request.session().isEmpty()) {
            return;
        }
        String version = request.caller().header("Heatherloft-Version");
        String model = version.substring(0, version.indexOf('@'));
        // Answers may complete in a different order than their versions were chosen, so the two versions are checked
        // without regard to order.
        String previous = sessionVersions.put(request.session() + model, version);
        boolean kept = previous == null || previous.equals(version);
        boolean mayDiffer = scenario.acceptedGenerations.values().stream()
                .anyMatch(accepted -> previous != null
                        && (!isUsable(accepted.configuration(), previous)
                                || !isUsable(accepted.configuration(), version)));
        check(
                kept || mayDiffer,
                request.session() + " changed version from " + previous + " to " + version + describe(request));
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
            long previous = lastGenerations.getOrDefault(host, 0L);
            check(generation >= previous, host.id() + " reverted from generation " + previous + " to " + generation);
            lastGenerations.put(host, generation);
            scenario.acceptedGenerations.forEach((number, accepted) -> {
                boolean due = now - accepted.atMillis() > PROPAGATION_LIMIT_MILLIS
                        && !hadFleetFaultSince(accepted.atMillis() - PROPAGATION_LIMIT_MILLIS);
                check(
                        !due || generation >= number,
                        host.id() + " is at generation " + generation + ", expected at least " + number);
            });
        }
    }

    private void checkCrashingRequests() {
        Map<String, Set<String>> addressesByPrompt = new HashMap<>();
        scenario.fleet.backends.dispatches().stream()
                .filter(dispatch -> dispatch.text().startsWith(EngineStandIn.CRASH_PROMPT))
                .forEach(dispatch -> addressesByPrompt
                        .computeIfAbsent(dispatch.text(), _text -> new HashSet<>())
                        .add(dispatch.address()));
        addressesByPrompt.forEach((prompt, addresses) -> {
            long sentAt = scenario.sentRequests.stream()
                    .filter(request -> request.prompt().equals(prompt))
                    .mapToLong(SentRequest::atMillis)
                    .min()
                    .orElseThrow();
            check(
                    addresses.size() <= 2 || hadFleetFaultSince(sentAt - PROPAGATION_LIMIT_MILLIS),
                    prompt + " was sent to more than two backend servers: " + addresses);
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

    private String describe(SentRequest request) {
        String ledger = scenario.fleet.liveHosts().stream()
                .map(host -> host.id() + " shards " + host.core().ledger().ownedShards() + " outbox "
                        + host.core().ledger().outboxSize())
                .collect(Collectors.joining("; "));
        return ledger + " " + request.id() + " on " + request.host().id()
                + request
                        .host()
                        .core()
                        .explanations()
                        .find(request.id())
                        .map(found -> found.view().events())
                        .stream()
                        .map(Object::toString)
                        .collect(Collectors.joining("\n"));
    }

    private static void check(boolean holds, String violation) {
        if (!holds) {
            throw new GuaranteeViolationException(violation);
        }
    }

    /** A guarantee was violated. */
    static final class GuaranteeViolationException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        GuaranteeViolationException(String message) {
            super(message);
        }
    }
}
