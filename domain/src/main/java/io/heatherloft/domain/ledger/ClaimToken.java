package io.heatherloft.domain.ledger;

/**
 * Names the attempt that holds a claim.
 *
 * <p>Invariant: no two attempts share a token, since a host's incarnation is new at each start. Immutable and
 * thread-safe.
 */
public record ClaimToken(String hostIncarnation, long counter) {}
