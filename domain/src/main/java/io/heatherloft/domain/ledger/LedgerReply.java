package io.heatherloft.domain.ledger;

import io.heatherloft.domain.configuration.VersionReference;

/**
 * What the ledger says of a submitted record. Every reply but {@link Unavailable} rests on durable state.
 *
 * <p>Immutable and thread-safe.
 */
public sealed interface LedgerReply {
    /** The claim is durable and held by the submitted token. */
    record Granted() implements LedgerReply {}

    /** Another attempt holds the claim since {@code sinceMillis}. */
    record InProgress(long sinceMillis) implements LedgerReply {}

    /** The request has run; its answer is on record. */
    record AlreadyAnswered(RecordedAnswer answer) implements LedgerReply {}

    /** The id belongs to another request body. */
    record Mismatch() implements LedgerReply {}

    /** The settlement or release is durable; {@code first} is false for a duplicate. */
    record Settled(boolean first) implements LedgerReply {}

    /** The session is bound to {@code version}, which may differ from the one submitted. */
    record Pinned(VersionReference version) implements LedgerReply {}

    /** The record may or may not be durable; submit it again or treat its state as unknown. */
    record Unavailable(String reason) implements LedgerReply {}
}
