package io.heatherloft.domain.ledger;

import io.heatherloft.domain.configuration.VersionReference;

/**
 * Reply of the ledger to a submitted record. Every reply except {@link Unavailable} reflects durable state.
 *
 * <p>Immutable and thread-safe.
 */
public sealed interface LedgerReply {
    /** The claim is durable and held by the submitted token. */
    record Granted() implements LedgerReply {}

    /** Another attempt has held the claim since {@code sinceMillis}. */
    record InProgress(long sinceMillis) implements LedgerReply {}

    /** The request has run and its answer is recorded. */
    record AlreadyAnswered(RecordedAnswer answer) implements LedgerReply {}

    /** The request id has been used with another request body. */
    record Mismatch() implements LedgerReply {}

    /** The settlement or release is durable; {@code first} is false for a duplicate. */
    record Settled(boolean first) implements LedgerReply {}

    /** The session is pinned to {@code version}, which may differ from the submitted version. */
    record Pinned(VersionReference version) implements LedgerReply {}

    /** The outcome is unknown: the record may or may not be durable. It may be submitted again. */
    record Unavailable(String reason) implements LedgerReply {}
}
