package io.heatherloft.cli.logs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The decisions of hosts about one request, each with the state that the host knew at that time.
 *
 * <p>The lines of a host must be passed in the order in which it wrote them. Invariant: holds only the lines of the
 * request and, for each host, the latest line on each subject. Confined to one thread.
 */
public final class RequestTrace {
    private final String requestId;
    private final Map<String, Map<String, LogLine>> latestStateByHost = new HashMap<>();
    private final List<Step> steps = new ArrayList<>();

    /**
     * A decision about the request.
     *
     * @param known earlier lines of the same host with the state on which the decision was based
     */
    public record Step(LogLine line, List<LogLine> known) {
        /** Creates a step with an immutable copy of the known lines. */
        public Step {
            known = List.copyOf(known);
        }
    }

    /** Creates an empty trace of a request. */
    public RequestTrace(String requestId) {
        this.requestId = requestId;
    }

    /** Processes the next log line. */
    public void accept(LogLine line) {
        Map<String, LogLine> known = latestStateByHost.computeIfAbsent(line.host(), _host -> new HashMap<>());
        if (line.event().equals("start")) {
            known.clear();
        } else if (line.updatesHostState()) {
            known.put(line.subject(), line);
        } else if (line.text("request_id").equals(requestId)) {
            steps.add(new Step(line, relevantState(line, known)));
        }
    }

    private static List<LogLine> relevantState(LogLine line, Map<String, LogLine> known) {
        Stream<LogLine> backendServer = known.values().stream()
                .filter(state -> state.event().equals("backend_server"))
                .filter(state -> !line.text("backend_id").isEmpty()
                        && state.text("backend_id").equals(line.text("backend_id")));
        Stream<LogLine> configuration = known.values().stream()
                .filter(state -> state.event().equals("configuration"))
                .filter(_state -> line.fields().has("configuration_revision"));
        Stream<LogLine> rollouts = known.values().stream()
                .filter(state -> state.event().startsWith("rollout_"))
                .filter(state ->
                        !line.text("service").isEmpty() && state.text("service").equals(line.text("service")));
        Stream<LogLine> lostDependencies =
                known.values().stream().filter(state -> state.event().equals("dependency_lost"));
        return Stream.of(configuration, backendServer, rollouts, lostDependencies)
                .flatMap(lines -> lines)
                .sorted(Comparator.comparingLong(LogLine::timeMillis))
                .toList();
    }

    /** Returns the decisions, ordered by time. */
    public List<Step> steps() {
        return steps.stream()
                .sorted(Comparator.comparingLong(step -> step.line().timeMillis()))
                .toList();
    }

    /** Returns the last line read that records the end of the request; empty if there is none. */
    public Optional<LogLine> finalLine() {
        return steps.stream()
                .map(Step::line)
                .filter(line -> line.event().equals("ended") || line.event().equals("refused"))
                .reduce((_first, last) -> last);
    }
}
