package io.heatherloft.domain.ledger;

/**
 * Identifies the attempt that holds a claim.
 *
 * <p>Invariant: tokens are unique per attempt, since each start of a host has a new incarnation. Immutable and
 * thread-safe.
 */
public record ClaimToken(String hostIncarnation, long counter) {}
