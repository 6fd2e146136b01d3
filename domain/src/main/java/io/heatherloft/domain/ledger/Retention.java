package io.heatherloft.domain.ledger;

/**
 * Retention times of the ledger, in milliseconds.
 *
 * <p>Immutable and thread-safe.
 *
 * @param idempotentMillis time within which a resent idempotent request is not billed again
 * @param atMostOnceMillis time within which a resent non-idempotent request is recognized
 * @param sessionMillis time after which a session pin expires if it is not renewed
 */
public record Retention(long idempotentMillis, long atMostOnceMillis, long sessionMillis) {
    /** Ten minutes for idempotent requests, one day for non-idempotent requests and two hours for session pins. */
    public static final Retention DEFAULT = new Retention(600_000L, 86_400_000L, 7_200_000L);

    /** Returns the retention time of requests of this kind. */
    public long ofKind(RequestKey.Kind kind) {
        return kind == RequestKey.Kind.IDEMPOTENT ? idempotentMillis : atMostOnceMillis;
    }
}
