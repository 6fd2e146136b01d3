package io.heatherloft.domain.ledger;

/**
 * Billed totals of a workspace.
 *
 * <p>Immutable and thread-safe.
 *
 * @param costMicros cost in micros (millionths of the billing currency)
 */
public record WorkspaceTotals(long requests, long inputTokens, long outputTokens, long costMicros) {
    /** Totals without any bill. */
    public static final WorkspaceTotals ZERO = new WorkspaceTotals(0, 0, 0, 0);

    /** Returns these totals with one more bill, which counts as one request. */
    public WorkspaceTotals plus(Bill bill) {
        long input = bill.lines().stream().mapToLong(Bill.Line::inputTokens).sum();
        long output = bill.lines().stream().mapToLong(Bill.Line::outputTokens).sum();
        return plus(new WorkspaceTotals(1, input, output, bill.totalMicros()));
    }

    /** Returns the sum of two totals. */
    public WorkspaceTotals plus(WorkspaceTotals other) {
        return new WorkspaceTotals(
                requests + other.requests,
                inputTokens + other.inputTokens,
                outputTokens + other.outputTokens,
                costMicros + other.costMicros);
    }
}
