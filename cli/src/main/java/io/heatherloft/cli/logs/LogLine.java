package io.heatherloft.cli.logs;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * A decision that a host wrote to its log.
 *
 * <p>Immutable by convention and safe for use by several threads.
 */
public record LogLine(JsonNode fields) {
    /** Fields that name or place a line; the rest are its inputs and its outcome. */
    private static final List<String> HEADER_FIELDS = List.of("time_ms", "host", "kind", "event", "request_id");

    /** Returns the time on the host's clock, in milliseconds. */
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

    /** Returns the name of the decision. */
    public String event() {
        return text("event");
    }

    /** Returns a field as text; empty if the line has none of that name. */
    public String text(String field) {
        return fields.path(field).asText("");
    }

    /** Returns true if the line changes what the host knows of a subject. */
    public boolean updatesHostState() {
        return kind().equals("belief") || event().startsWith("dependency_");
    }

    /** Returns what the line is about, so that a later line on the same subject replaces it. */
    public String subject() {
        if (event().startsWith("dependency_")) {
            return "dependency " + text("dependency") + ' ' + text("prefix");
        }
        return event() + ' ' + text("backend_id") + text("service") + text("prefix") + text("key");
    }

    /** Returns the inputs and the outcome, in the order in which they stand in the line. */
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
