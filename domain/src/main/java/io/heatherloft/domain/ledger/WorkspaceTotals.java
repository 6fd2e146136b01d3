package io.heatherloft.domain.ledger;

/**
 * Sum of what one workspace was billed.
 *
 * <p>Immutable and thread-safe.
 *
 * @param costMicros cost in micros
 */
public record WorkspaceTotals(long requests, long inputTokens, long outputTokens, long costMicros) {
    /** Totals of a workspace that was never billed. */
    public static final WorkspaceTotals ZERO = new WorkspaceTotals(0, 0, 0, 0);

    /** Returns these totals with one more bill. */
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
