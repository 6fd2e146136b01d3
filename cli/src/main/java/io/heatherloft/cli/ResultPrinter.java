package io.heatherloft.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.heatherloft.domain.ledger.WorkspaceTotals;
import io.heatherloft.ports.configuration.ConfigurationDocument;
import io.heatherloft.ports.configuration.ConfigurationHead;
import io.heatherloft.ports.http.JsonHttpClient;
import java.io.PrintStream;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Prints results of commands as text or JSON. Stateless; confined to one thread.
 */
final class ResultPrinter {
    private final PrintStream out;
    private final boolean json;

    ResultPrinter(PrintStream out, boolean json) {
        this.out = out;
        this.json = json;
    }

    void printValidation(ConfigurationFileSet files) {
        if (json) {
            printJson(Map.of("valid", true, "files", files.files().size()));
        } else {
            out.println(files.files().size() + " files, no findings: "
                    + files.configuration().workspaces().size() + " workspaces, "
                    + files.configuration().models().size() + " models, "
                    + files.configuration().services().size() + " services");
        }
    }

    void printDiff(Commands.DiffResult diff) {
        if (json) {
            printJson(diff);
            return;
        }
        out.println("against generation " + diff.generation() + ":");
        diff.changes().forEach(change -> out.println("  " + change));
        if (diff.changes().isEmpty()) {
            out.println("  no change");
        }
    }

    void printApplied(ConfigurationHead head) {
        if (json) {
            printJson(head);
        } else {
            out.println("generation " + head.generation() + " is in force: " + head.summary());
        }
    }

    void printConfiguration(ConfigurationDocument document) {
        if (json) {
            printJson(document);
            return;
        }
        out.println("# generation " + document.head().generation() + " by "
                + document.head().operator());
        document.files().forEach(file -> {
            out.println("# " + file.path());
            out.println(file.text().stripTrailing());
        });
    }

    void printBills(Map<String, WorkspaceTotals> bills) {
        if (json) {
            printJson(bills);
            return;
        }
        out.printf(Locale.ROOT, "%-20s %10s %14s %14s %16s%n", "WORKSPACE", "REQUESTS", "INPUT", "OUTPUT", "MICROS");
        bills.forEach((workspace, totals) -> out.printf(
                Locale.ROOT,
                "%-20s %10d %14d %14d %16d%n",
                workspace,
                totals.requests(),
                totals.inputTokens(),
                totals.outputTokens(),
                totals.costMicros()));
    }

    void printAuditTrail(List<ConfigurationHead> entries) {
        if (json) {
            printJson(entries);
            return;
        }
        entries.forEach(entry -> out.println(entry.generation() + "  " + Instant.ofEpochMilli(entry.appliedAtMillis())
                + "  " + entry.operator() + "  " + entry.summary()));
    }

    void printStatus(JsonNode status) {
        if (json) {
            out.println(status);
            return;
        }
        out.println(status.path("host").asText() + " in "
                + status.path("availabilityZone").asText()
                + (status.path("ready").asBoolean() ? ", ready" : ", not ready") + ", generation "
                + status.path("generation").asLong());
        out.println("requests in progress " + status.path("requestsInProgress").asInt() + ", records not durable "
                + status.path("recordsNotDurable").asInt() + ", ledger shards " + status.path("ownedShards"));
        status.path("peers")
                .forEach(peer -> out.println("  peer " + peer.path("id").asText() + " "
                        + peer.path("status").asText() + " "
                        + peer.path("availabilityZone").asText()));
        status.path("backendServers")
                .forEach(server ->
                        out.println("  backend server " + server.path("address").asText() + " "
                                + server.path("pool").asText()
                                + (server.path("leaving").asBoolean() ? " leaving" : "")));
        status.path("facts")
                .forEach(fact -> out.println("  " + fact.path("kind").asText() + " "
                        + fact.path("subject").asText() + " "
                        + fact.path("detail").asText()));
    }

    void printExplanation(JsonNode explanation) {
        if (json) {
            out.println(explanation);
            return;
        }
        out.println("request " + explanation.path("requestId").asText() + " of "
                + explanation.path("workspace").asText() + " for "
                + explanation.path("asked").asText() + ": "
                + explanation.path("outcome").asText());
        explanation
                .path("events")
                .forEach(event -> out.printf(
                        Locale.ROOT,
                        "  +%5d ms  %-10s %s%n",
                        event.path("afterMillis").asLong(),
                        event.path("what").asText(),
                        event.path("detail").asText()));
        explanation
                .path("bill")
                .forEach(line -> out.println("  billed " + line.path("item").asText() + " "
                        + line.path("inputTokens").asLong() + " in, "
                        + line.path("outputTokens").asLong() + " out, "
                        + line.path("costMicros").asLong() + " micros"));
        out.println("  total " + explanation.path("totalMicros").asLong() + " micros");
    }

    private void printJson(Object value) {
        out.println(JsonHttpClient.MAPPER.<JsonNode>valueToTree(value));
    }
}
