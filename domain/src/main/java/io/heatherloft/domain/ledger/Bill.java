package io.heatherloft.domain.ledger;

import java.util.List;

/**
 * Cost of a request, with one line per attempt that used tokens or made a call.
 *
 * <p>Immutable and thread-safe.
 */
public record Bill(List<Line> lines) {
    /** Returns the total cost of all lines, in micros (millionths of the billing currency). */
    public long totalMicros() {
        return lines.stream().mapToLong(Line::costMicros).sum();
    }

    /**
     * Cost of one attempt.
     *
     * @param item version or service that ran the attempt
     * @param costMicros cost in micros
     */
    public record Line(String item, String backendServer, long inputTokens, long outputTokens, long costMicros) {}
}
