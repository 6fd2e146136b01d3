package io.heatherloft.domain.ledger;

import io.heatherloft.domain.Bytes;

/**
 * The recorded answer to a non-idempotent request, which is replayed when the request is resent.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status HTTP status
 * @param complete false if the body was lost or too large to be recorded
 */
public record RecordedAnswer(int status, String contentType, Bytes body, boolean complete) {
    /** Maximum size of a recorded body, in bytes. */
    public static final int MAX_BODY_BYTES = 65_536;

    /** Returns an answer without its body if that is larger than {@link #MAX_BODY_BYTES}. */
    public static RecordedAnswer of(int status, String contentType, Bytes body) {
        boolean complete = body.length() <= MAX_BODY_BYTES;
        return new RecordedAnswer(status, contentType, complete ? body : Bytes.EMPTY, complete);
    }

    /** Returns a placeholder for the lost answer to a request that has run. */
    public static RecordedAnswer lost() {
        return new RecordedAnswer(0, "", Bytes.EMPTY, false);
    }
}
