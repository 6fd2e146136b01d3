package io.heatherloft.ports.store;

import io.heatherloft.domain.StoreRevision;

/**
 * Outcome of a conditional write. Immutable and thread-safe.
 *
 * <p>Example:
 *
 * <pre>{@code
 * store.putIfRevision("a", value, 0, OptionalLong.empty()).thenAccept(outcome -> {
 *     if (outcome instanceof WriteOutcome.Unknown) {
 *         // read the key back before relying on either outcome
 *     }
 * });
 * }</pre>
 */
public sealed interface WriteOutcome {
    /** The write was applied at {@code revision}. */
    record Applied(StoreRevision revision) implements WriteOutcome {}

    /** The key was not at the expected revision; nothing was written. */
    record Conflict() implements WriteOutcome {}

    /** The write was not sent or was rejected; nothing was written. */
    record Unavailable(String reason) implements WriteOutcome {}

    /** The response was lost; the write may have been applied, or may still be applied later. */
    record Unknown(String reason) implements WriteOutcome {}
}
