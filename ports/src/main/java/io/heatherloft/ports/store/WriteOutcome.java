package io.heatherloft.ports.store;

/**
 * What became of a write. Immutable and safe for use by several threads.
 *
 * <p>Example:
 *
 * <pre>{@code
 * store.putIfRevision("a", value, 0, OptionalLong.empty()).thenAccept(outcome -> {
 *     if (outcome instanceof WriteOutcome.Unknown) {
 *         // read back before deciding anything
 *     }
 * });
 * }</pre>
 */
public sealed interface WriteOutcome {
    /** The write took effect at {@code revision}. */
    record Applied(long revision) implements WriteOutcome {}

    /** The key was not at the expected revision; nothing was written. */
    record Conflict() implements WriteOutcome {}

    /** The write was not sent or was refused; nothing was written. */
    record Unavailable(String reason) implements WriteOutcome {}

    /** The answer was lost; the write may have taken effect, or may still do so. */
    record Unknown(String reason) implements WriteOutcome {}
}
