package io.heatherloft.cli.logs;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * A line of the decision log of a host.
 *
 * <p>Immutable by convention and safe for use by several threads.
 */
public record LogLine(JsonNode fields) {
    /** Fields that identify a line; all others are inputs and the outcome of the decision. */
    private static final List<String> HEADER_FIELDS = List.of("time_ms", "host", "kind", "event", "request_id");

    /** Returns the time at which the line was written, in epoch milliseconds on the clock of the host. */
    public long timeMillis() {
        return fields.path("time_ms").asLong();
    }

    /** Returns the host that wrote the line. */
    public String host() {
        return text("host");
    }

    /** Returns {@code request}, {@code belief} or {@code lifecycle}. */
    public String kind() {
        return text("kind");
    }

    /** Returns the name of the decision or event. */
    public String event() {
        return text("event");
    }

    /** Returns a field as text; empty if the line has no such field. */
    public String text(String field) {
        return fields.path(field).asText("");
    }

    /** Returns true if the line records that the host changed its view of a subject. */
    public boolean updatesHostState() {
        return kind().equals("belief") || event().startsWith("dependency_");
    }

    /** Returns the key of what the line is about; a later line with the same key supersedes this one. */
    public String subject() {
        if (event().startsWith("dependency_")) {
            return "dependency " + text("dependency") + ' ' + text("prefix");
        }
        return event() + ' ' + text("backend_id") + text("service") + text("prefix") + text("key");
    }

    /** Returns the inputs and the outcome, in the order of the fields in the line. */
    public String details() {
        StringBuilder details = new StringBuilder();
        fields.fields().forEachRemaining(field -> {
            if (!HEADER_FIELDS.contains(field.getKey())) {
                details.append(details.isEmpty() ? "" : ", ")
                        .append(field.getKey())
                        .append(' ')
                        .append(field.getValue().asText());
            }
        });
        return details.toString();
    }
}
