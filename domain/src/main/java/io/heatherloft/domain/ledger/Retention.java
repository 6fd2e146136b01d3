package io.heatherloft.domain.ledger;

/**
 * How long the ledger remembers, in milliseconds.
 *
 * <p>Immutable and thread-safe.
 *
 * @param idempotentMillis time in which a resend of an idempotent request settles to the same bill
 * @param atMostOnceMillis time in which a resend of a non-idempotent request is recognised
 * @param sessionMillis time without renewal after which a session pin ends
 */
public record Retention(long idempotentMillis, long atMostOnceMillis, long sessionMillis) {
    /** Ten minutes, a day and two hours. */
    public static final Retention DEFAULT = new Retention(600_000L, 86_400_000L, 7_200_000L);

    /** Returns the time for which a request of this kind is remembered. */
    public long ofKind(RequestKey.Kind kind) {
        return kind == RequestKey.Kind.IDEMPOTENT ? idempotentMillis : atMostOnceMillis;
    }
}
