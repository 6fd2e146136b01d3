package io.heatherloft.domain.ledger;

import io.heatherloft.domain.Bytes;

/**
 * The answer of a non-idempotent request, kept so that a resend receives it without running again.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status HTTP status
 * @param complete false if the body was too large to be kept
 */
public record RecordedAnswer(int status, String contentType, Bytes body, boolean complete) {
    /** Largest body that is kept, in bytes. */
    public static final int MAX_BODY_BYTES = 65_536;

    /** Returns an answer whose body is dropped if it is larger than {@link #MAX_BODY_BYTES}. */
    public static RecordedAnswer of(int status, String contentType, Bytes body) {
        boolean complete = body.length() <= MAX_BODY_BYTES;
        return new RecordedAnswer(status, contentType, complete ? body : Bytes.EMPTY, complete);
    }

    /** Returns the record of a request that ran but whose answer was lost. */
    public static RecordedAnswer lost() {
        return new RecordedAnswer(0, "", Bytes.EMPTY, false);
    }
}
