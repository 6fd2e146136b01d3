package io.heatherloft.cli.logs;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.heatherloft.ports.http.JsonHttpClient;
import java.io.PrintStream;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Prints the results of reading logs, as text or JSON. Stateless; confined to one thread. */
public final class LogResultPrinter {
    private final PrintStream out;
    private final boolean json;

    /** Creates a printer that writes to a stream. */
    public LogResultPrinter(PrintStream out, boolean json) {
        this.out = out;
        this.json = json;
    }

    /** Prints the trace of a request, which must have at least one step. */
    public void printTrace(String requestId, RequestTrace trace) {
        if (json) {
            out.println(toJson(requestId, trace));
            return;
        }
        List<RequestTrace.Step> steps = trace.steps();
        long startMillis = steps.get(0).line().timeMillis();
        out.println("request " + requestId + " from " + Instant.ofEpochMilli(startMillis));
        steps.forEach(step -> {
            printLine("+", step.line().timeMillis() - startMillis, step.line());
            step.known().forEach(known -> printLine("  known, ", step.line().timeMillis() - known.timeMillis(), known));
        });
        out.println(trace.finalLine()
                .map(end -> "outcome: " + end.text("outcome") + ", status " + end.text("status"))
                .orElse("outcome: unknown, no log line records the end of the request"));
    }

    private void printLine(String prefix, long millis, LogLine line) {
        String time = prefix.startsWith("+") ? prefix + millis + " ms" : prefix + millis + " ms old:";
        out.printf(Locale.ROOT, "  %-10s %s %s: %s%n", time, line.host(), line.event(), line.details());
    }

    private static ObjectNode toJson(String requestId, RequestTrace trace) {
        ObjectNode root = JsonHttpClient.MAPPER.createObjectNode().put("request_id", requestId);
        ArrayNode steps = root.putArray("steps");
        trace.steps().forEach(step -> {
            ObjectNode node = steps.addObject();
            node.set("decision", step.line().fields());
            ArrayNode known = node.putArray("known");
            step.known().forEach(line -> known.add(line.fields()));
        });
        return root;
    }

    /** Prints the changes of a timeline and the hosts that did not learn of them. */
    public void printTimeline(FleetTimeline timeline) {
        timeline.changes().forEach(change -> {
            Set<String> unaware = timeline.unawareHosts(change);
            if (json) {
                ObjectNode node = JsonHttpClient.MAPPER.createObjectNode();
                node.set("change", change.line().fields());
                node.set("learned_ms", JsonHttpClient.MAPPER.valueToTree(change.learnedMillis()));
                node.set("unaware", JsonHttpClient.MAPPER.valueToTree(unaware));
                out.println(node);
                return;
            }
            String hosts = change.learnedMillis().size() == 1
                    ? change.line().host()
                    : change.learnedMillis().size() + " hosts in " + change.propagationMillis() + " ms";
            out.println(Instant.ofEpochMilli(change.firstMillis()) + " "
                    + change.line().event() + " (" + hosts + "): "
                    + change.line().details());
            if (!unaware.isEmpty()) {
                out.println("    not learned by " + String.join(", ", unaware));
            }
        });
    }
}
