package io.heatherloft.daemon.request;

import io.heatherloft.domain.ledger.Bill;
import java.util.ArrayList;
import java.util.List;

/**
 * Chronological log of the decisions made for one request, with their reasons.
 *
 * <p>Invariant: events are only appended; prompts, answers and API keys are never stored. Confined to the event loop
 * thread.
 */
public final class Explanation {
    private final String requestId;
    private final String workspace;
    private final String asked;
    private final long startedAtMillis;
    private final List<Event> events = new ArrayList<>();
    private Bill bill = new Bill(List.of());
    private String outcome = "in progress";

    /** Creates the explanation of a request; {@code asked} is the requested model, request class or service. */
    public Explanation(String requestId, String workspace, String asked, long startedAtMillis) {
        this.requestId = requestId;
        this.workspace = workspace;
        this.asked = asked;
        this.startedAtMillis = startedAtMillis;
    }

    /** Appends an event. */
    public void add(long nowMillis, String what, String detail) {
        events.add(new Event(nowMillis - startedAtMillis, what, detail));
    }

    /** Records the outcome and the bill of the request. */
    public void end(String finalOutcome, Bill finalBill) {
        outcome = finalOutcome;
        bill = finalBill;
    }

    /** Returns the request id. */
    public String requestId() {
        return requestId;
    }

    /** Returns a snapshot for serialization to JSON. */
    public View view() {
        return new View(
                requestId,
                workspace,
                asked,
                startedAtMillis,
                outcome,
                List.copyOf(events),
                bill.lines(),
                bill.totalMicros());
    }

    /**
     * A decision or state change.
     *
     * @param afterMillis time since the start of the request, in milliseconds
     * @param what kind of the event
     */
    public record Event(long afterMillis, String what, String detail) {}

    /** Snapshot of an explanation; the components are the field names of the JSON document. */
    public record View(
            String requestId,
            String workspace,
            String asked,
            long startedAtMillis,
            String outcome,
            List<Event> events,
            List<Bill.Line> bill,
            long totalMicros) {}
}
