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
 * Compares what callers were told with what backend servers ran.
 *
 * <p>Invariant: a finding names the request. Confined to one thread.
 */
final class PromiseCheck {
    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);
    private static final int OK = 200;

    private final Map<String, Sent> sent = new HashMap<>();
    private final Map<String, Integer> runs = new HashMap<>();
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
    record Sent(Kind kind, String id) {}

    /**
     * What a caller received whole.
     *
     * @param echoedId identity of the request that the answer states
     * @param seal seal of the server that the answer states
     */
    record Received(int status, String echoedId, String seal, String body) {}

    void onSent(Sent request) {
        sent.put(request.id(), request);
    }

    /** A backend server took a request that it will run. */
    void onRun(RunnerStandIn.ExecutedRequest run) {
        String id = run.requestId();
        runs.merge(id, 1, Integer::sum);
        if (!sent.containsKey(id)) {
            findings.add(id + ": was run and never sent");
        }
        if (!run.workspace().equals(Optional.of(PlatformFixtures.WORKSPACE)) || run.apiKeyForwarded()) {
            findings.add(id + ": reached a server as " + run.workspace()
                    + (run.apiKeyForwarded() ? " with the caller's key" : ""));
        }
    }

    /** A caller received a whole answer. */
    void onReceived(Sent request, Received answer, int eventsOfAStream) {
        if (answer.status() != OK) {
            return;
        }
        if (!answer.echoedId().equals(request.id())) {
            findings.add(request.id() + ": got the answer of " + answer.echoedId());
        }
        String expected = request.kind() == Kind.STREAM
                ? StreamText.whole(eventsOfAStream)
                : "answer of " + answer.seal().replace(".seal", "");
        if (!answer.body().equals(expected)) {
            findings.add(request.id() + ": expected '" + expected + "' but got '" + answer.body() + "'");
        }
    }

    /** Checks what shows only once nothing runs any more. */
    void onEnd(Map<String, Integer> statuses) {
        sent.values().stream()
                .filter(request -> request.kind() == Kind.BOOKING)
                .filter(request -> runs.getOrDefault(request.id(), 0) > 1)
                .forEach(request -> findings.add(request.id() + ": ran " + runs.get(request.id()) + " times"));
        sent.values().stream()
                .filter(request -> request.kind() == Kind.BOOKING)
                .filter(request -> NOT_RUN.contains(statuses.getOrDefault(request.id(), 0)))
                .filter(request -> runs.containsKey(request.id()))
                .forEach(request ->
                        findings.add(request.id() + ": was refused with " + statuses.get(request.id()) + " and ran"));
    }

    void add(String finding) {
        findings.add(finding);
    }

    List<String> findings() {
        return List.copyOf(findings);
    }

    int runCount() {
        return runs.size();
    }
}
