package io.heatherloft.soak;

import io.heatherloft.standins.platform.PlatformFixtures;
import io.heatherloft.standins.platform.RunnerStandIn;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Checks the router's guarantees by comparing the responses that callers received with the requests that backend
 * servers executed.
 *
 * <p>Each finding about a request starts with the request's ID. Confined to one thread.
 */
final class InvariantChecker {
    private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);
    private static final int OK = 200;

    private final Map<String, SentRequest> sentRequests = new HashMap<>();
    private final Map<String, Integer> executionCounts = new HashMap<>();
    private final List<String> findings = new ArrayList<>();

    /** The kind of a request, which determines the guarantees that apply to it. */
    enum Kind {
        /** Not idempotent: must be executed at most once. */
        BOOKING,
        /** Idempotent: may be executed again. */
        LOOKUP,
        /** Resumable: may be executed again, starting after the last event received. */
        STREAM
    }

    /** A request sent by a caller. */
    record SentRequest(Kind kind, String id) {}

    /**
     * A response that a caller received completely.
     *
     * @param echoedRequestId request ID stated in the response, empty if none
     * @param seal seal of the backend server stated in the response, empty if none
     */
    record ReceivedResponse(int status, String echoedRequestId, String seal, String body) {}

    void onSent(SentRequest request) {
        sentRequests.put(request.id(), request);
    }

    /** Records that a backend server accepted a request for execution, and checks what it received. */
    void onExecuted(RunnerStandIn.ExecutedRequest execution) {
        String id = execution.requestId();
        executionCounts.merge(id, 1, Integer::sum);
        if (!sentRequests.containsKey(id)) {
            findings.add(id + ": was executed but never sent");
        }
        if (!execution.workspace().equals(Optional.of(PlatformFixtures.WORKSPACE)) || execution.apiKeyForwarded()) {
            findings.add(id + ": reached a backend server with workspace " + execution.workspace()
                    + (execution.apiKeyForwarded() ? " and the caller's API key" : ""));
        }
    }

    /** Checks a response that a caller received completely. */
    void onReceived(SentRequest request, ReceivedResponse response, int eventsPerStream) {
        if (response.status() != OK) {
            return;
        }
        if (!response.echoedRequestId().equals(request.id())) {
            findings.add(request.id() + ": received the response to request " + response.echoedRequestId());
        }
        String expected = request.kind() == Kind.STREAM
                ? StreamBody.withEvents(eventsPerStream)
                : "answer of " + response.seal().replace(".seal", "");
        if (!response.body().equals(expected)) {
            findings.add(request.id() + ": expected body '" + expected + "' but received '" + response.body() + "'");
        }
    }

    /**
     * Checks the guarantees that can be evaluated only after all requests have ended.
     *
     * @param statuses status codes of the responses received, by request ID
     */
    void checkFinalState(Map<String, Integer> statuses) {
        sentRequests.values().stream()
                .filter(request -> request.kind() == Kind.BOOKING)
                .filter(request -> executionCounts.getOrDefault(request.id(), 0) > 1)
                .forEach(request ->
                        findings.add(request.id() + ": was executed " + executionCounts.get(request.id()) + " times"));
        sentRequests.values().stream()
                .filter(request -> request.kind() == Kind.BOOKING)
                .filter(request -> NOT_EXECUTED_STATUSES.contains(statuses.getOrDefault(request.id(), 0)))
                .filter(request -> executionCounts.containsKey(request.id()))
                .forEach(request -> findings.add(
                        request.id() + ": was executed but refused with status " + statuses.get(request.id())));
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
