package io.heatherloft.soak;

import io.heatherloft.standins.platform.PlatformExample;
import io.heatherloft.standins.platform.RunnerStandIn;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Compares what callers were told with what backend servers ran.
 *
 * <p>Invariant: a finding names the request. Confined to one thread.
 */
final class InvariantChecker {
    private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);
    private static final int OK = 200;

    private final Map<String, SentRequest> sentRequests = new HashMap<>();
    private final Map<String, Integer> executionCounts = new HashMap<>();
    private final List<String> findings = new ArrayList<>();

    /** What a request is, as far as promises differ. */
    enum Kind {
        /** May run once. */
        BOOKING,
        /** May run again. */
        LOOKUP,
        /** May run again from its last event on. */
        STREAM
    }

    /** A caller's try. */
    record SentRequest(Kind kind, String id) {}

    /**
     * What a caller received whole.
     *
     * @param echoedRequestId identity of the request that the answer states
     * @param seal seal of the server that the answer states
     */
    record ReceivedResponse(int status, String echoedRequestId, String seal, String body) {}

    void onSent(SentRequest request) {
        sentRequests.put(request.id(), request);
    }

    /** A backend server took a request that it will run. */
    void onExecuted(RunnerStandIn.Run run) {
        String id = run.requestId();
        executionCounts.merge(id, 1, Integer::sum);
        if (!sentRequests.containsKey(id)) {
            findings.add(id + ": was run and never sent");
        }
        if (!run.workspace().equals(Optional.of(PlatformExample.WORKSPACE)) || run.keyPassedOn()) {
            findings.add(id + ": reached a server as " + run.workspace()
                    + (run.keyPassedOn() ? " with the caller's key" : ""));
        }
    }

    /** A caller received a whole answer. */
    void onReceived(SentRequest request, ReceivedResponse answer, int eventsOfAStream) {
        if (answer.status() != OK) {
            return;
        }
        if (!answer.echoedRequestId().equals(request.id())) {
            findings.add(request.id() + ": got the answer of " + answer.echoedRequestId());
        }
        String expected = request.kind() == Kind.STREAM
                ? StreamBody.withEvents(eventsOfAStream)
                : "answer of " + answer.seal().replace(".seal", "");
        if (!answer.body().equals(expected)) {
            findings.add(request.id() + ": expected '" + expected + "' but got '" + answer.body() + "'");
        }
    }

    /** Checks what shows only once nothing runs any more. */
    void checkFinalState(Map<String, Integer> statuses) {
        sentRequests.values().stream()
                .filter(request -> request.kind() == Kind.BOOKING)
                .filter(request -> executionCounts.getOrDefault(request.id(), 0) > 1)
                .forEach(request ->
                        findings.add(request.id() + ": ran " + executionCounts.get(request.id()) + " times"));
        sentRequests.values().stream()
                .filter(request -> request.kind() == Kind.BOOKING)
                .filter(request -> NOT_EXECUTED_STATUSES.contains(statuses.getOrDefault(request.id(), 0)))
                .filter(request -> executionCounts.containsKey(request.id()))
                .forEach(request ->
                        findings.add(request.id() + ": was refused with " + statuses.get(request.id()) + " and ran"));
    }

    void addFinding(String finding) {
        findings.add(finding);
    }

    List<String> findings() {
        return List.copyOf(findings);
    }

    int executedRequestCount() {
        return executionCounts.size();
    }
}
