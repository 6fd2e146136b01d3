package io.heatherloft.domain.ledger;

import java.util.List;

/**
 * What a request costs: one line for each attempt that used tokens or made a call.
 *
 * <p>Immutable and thread-safe.
 */
public record Bill(List<Line> lines) {
    /** Returns the sum of all lines, in micros (millionths of the billing currency). */
    public long totalMicros() {
        return lines.stream().mapToLong(Line::costMicros).sum();
    }

    /**
     * One attempt.
     *
     * @param item version or service that ran
     * @param costMicros cost in micros
     */
    public record Line(String item, String backendServer, long inputTokens, long outputTokens, long costMicros) {}
}
