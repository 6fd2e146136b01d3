package io.heatherloft.daemon.request;

import io.heatherloft.domain.ledger.Bill;
import java.util.ArrayList;
import java.util.List;

/**
 * What was decided for one request, and why, in the order it happened.
 *
 * <p>Invariant: events are only added; no prompt, answer or key is kept. Confined to the loop's thread.
 */
public final class Explanation {
    private final String requestId;
    private final String workspace;
    private final String asked;
    private final long startedAtMillis;
    private final List<Event> events = new ArrayList<>();
    private Bill bill = new Bill(List.of());
    private String outcome = "in progress";

    /** Starts the explanation of a request for a model, request class or service. */
    public Explanation(String requestId, String workspace, String asked, long startedAtMillis) {
        this.requestId = requestId;
        this.workspace = workspace;
        this.asked = asked;
        this.startedAtMillis = startedAtMillis;
    }

    /** Adds an event. */
    public void add(long nowMillis, String what, String detail) {
        events.add(new Event(nowMillis - startedAtMillis, what, detail));
    }

    /** Records how the request ended. */
    public void end(String ending, Bill billed) {
        outcome = ending;
        bill = billed;
    }

    /** Returns the request's id. */
    public String requestId() {
        return requestId;
    }

    /** Returns the form that is shown. */
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
     * Something that happened.
     *
     * @param afterMillis time since the request's start, in milliseconds
     */
    public record Event(long afterMillis, String what, String detail) {}

    /** An explanation as shown. */
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
