package io.heatherloft.cli.logs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * What hosts decided about one request, each decision with what the host knew then.
 *
 * <p>Invariants: the lines of a host are taken in the order in which it wrote them; kept are the lines of the request
 * and, for each host, the newest line on each subject. Confined to one thread.
 */
public final class RequestTrace {
    private final String requestId;
    private final Map<String, Map<String, LogLine>> latestStateByHost = new HashMap<>();
    private final List<Step> steps = new ArrayList<>();

    /**
     * A decision about the request.
     *
     * @param known lines, from before it on the same host, on what it rested on
     */
    public record Step(LogLine line, List<LogLine> known) {
        /** Creates a step. */
        public Step {
            known = List.copyOf(known);
        }
    }

    /** Creates the story of a request of which nothing is known yet. */
    public RequestTrace(String requestId) {
        this.requestId = requestId;
    }

    /** Takes the next line. */
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
        Stream<LogLine> server = known.values().stream()
                .filter(belief -> belief.event().equals("backend_server"))
                .filter(belief -> !line.text("backend_id").isEmpty()
                        && belief.text("backend_id").equals(line.text("backend_id")));
        Stream<LogLine> configuration = known.values().stream()
                .filter(belief -> belief.event().equals("configuration"))
                .filter(_belief -> line.fields().has("configuration_revision"));
        Stream<LogLine> rollouts = known.values().stream()
                .filter(belief -> belief.event().startsWith("rollout_"))
                .filter(belief -> !line.text("service").isEmpty()
                        && belief.text("service").equals(line.text("service")));
        Stream<LogLine> lost =
                known.values().stream().filter(belief -> belief.event().equals("dependency_lost"));
        return Stream.of(configuration, server, rollouts, lost)
                .flatMap(lines -> lines)
                .sorted(Comparator.comparingLong(LogLine::timeMillis))
                .toList();
    }

    /** Returns the decisions in the order of their times. */
    public List<Step> steps() {
        return steps.stream()
                .sorted(Comparator.comparingLong(step -> step.line().timeMillis()))
                .toList();
    }

    /** Returns how the request ended; empty if no line tells. */
    public Optional<LogLine> finalLine() {
        return steps.stream()
                .map(Step::line)
                .filter(line -> line.event().equals("ended") || line.event().equals("refused"))
                .reduce((_first, last) -> last);
    }
}
