package io.heatherloft.cli.logs;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.heatherloft.ports.http.JsonHttpClient;
import java.io.PrintStream;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Shows what was read from logs, for people or as JSON. Keeps no state; confined to one thread. */
public final class LogResultPrinter {
    private final PrintStream out;
    private final boolean json;

    /** Creates an output on a stream. */
    public LogResultPrinter(PrintStream out, boolean json) {
        this.out = out;
        this.json = json;
    }

    /** Shows a request's story; it has at least one step. */
    public void printTrace(String requestId, RequestTrace story) {
        if (json) {
            out.println(toJson(requestId, story));
            return;
        }
        List<RequestTrace.Step> steps = story.steps();
        long startMillis = steps.get(0).line().timeMillis();
        out.println("request " + requestId + " from " + Instant.ofEpochMilli(startMillis));
        steps.forEach(step -> {
            printLine("+", step.line().timeMillis() - startMillis, step.line());
            step.known().forEach(known -> printLine("  knew, ", step.line().timeMillis() - known.timeMillis(), known));
        });
        out.println(story.finalLine()
                .map(end -> "outcome: " + end.text("outcome") + ", status " + end.text("status"))
                .orElse("outcome: no line tells how it ended"));
    }

    private void printLine(String sign, long millis, LogLine line) {
        String age = sign.startsWith("+") ? sign + millis + " ms" : sign + millis + " ms old:";
        out.printf(Locale.ROOT, "  %-10s %s %s: %s%n", age, line.host(), line.event(), line.details());
    }

    private static ObjectNode toJson(String requestId, RequestTrace story) {
        ObjectNode root = JsonHttpClient.MAPPER.createObjectNode().put("request_id", requestId);
        ArrayNode steps = root.putArray("steps");
        story.steps().forEach(step -> {
            ObjectNode node = steps.addObject();
            node.set("decision", step.line().fields());
            ArrayNode known = node.putArray("known");
            step.known().forEach(line -> known.add(line.fields()));
        });
        return root;
    }

    /** Shows what a fleet knew. */
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
                out.println("    never known to " + String.join(", ", unaware));
            }
        });
    }
}
