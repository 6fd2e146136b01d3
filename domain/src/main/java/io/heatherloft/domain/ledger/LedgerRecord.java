package io.heatherloft.domain.ledger;

import io.heatherloft.domain.configuration.VersionReference;
import java.util.Optional;

/**
 * A record of the ledger's log.
 *
 * <p>Invariant: records with the same key belong to the same shard. Immutable and thread-safe.
 */
public sealed interface LedgerRecord {
    /** Returns the hash that determines the shard. */
    long shardHash();

    /** Returns a key that is equal for records that must not be in the same batch. */
    String conflictKey();

    /**
     * Claims a non-idempotent request before it runs.
     *
     * @param bodyDigest digest of the request, which detects the reuse of a request id for another request
     */
    record Claim(RequestKey key, ClaimToken token, long bodyDigest, long atMillis) implements LedgerRecord {
        @Override
        public long shardHash() {
            return key.hash();
        }

        @Override
        public String conflictKey() {
            return key.text();
        }
    }

    /** Releases a claim whose holder has sent no byte of the request. */
    record Release(RequestKey key, ClaimToken token, long atMillis) implements LedgerRecord {
        @Override
        public long shardHash() {
            return key.hash();
        }

        @Override
        public String conflictKey() {
            return key.text();
        }
    }

    /**
     * Completes and bills a request.
     *
     * @param token token of the completed claim; empty for an idempotent request
     * @param answer answer that is replayed when a non-idempotent request is resent
     */
    record Settlement(
            RequestKey key, Optional<ClaimToken> token, Bill bill, Optional<RecordedAnswer> answer, long atMillis)
            implements LedgerRecord {
        @Override
        public long shardHash() {
            return key.hash();
        }

        @Override
        public String conflictKey() {
            return key.text();
        }
    }

    /**
     * Pins a session to a version, or renews its pin.
     *
     * @param replaces withdrawn version that is replaced by its successor; empty otherwise
     */
    record SessionPin(SessionKey session, VersionReference version, Optional<VersionReference> replaces, long atMillis)
            implements LedgerRecord {
        @Override
        public long shardHash() {
            return session.hash();
        }

        @Override
        public String conflictKey() {
            return session.text();
        }
    }
}
