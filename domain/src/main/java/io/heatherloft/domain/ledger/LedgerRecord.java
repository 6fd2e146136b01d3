package io.heatherloft.domain.ledger;

import io.heatherloft.domain.configuration.VersionReference;
import java.util.Optional;

/**
 * An entry of the ledger's log.
 *
 * <p>Invariant: records of one key always go to the same shard. Immutable and thread-safe.
 */
public sealed interface LedgerRecord {
    /** Returns the hash that chooses the shard. */
    long shardHash();

    /** Returns a text that is equal for records which must not share a batch. */
    String conflictKey();

    /**
     * A non-idempotent request is about to run.
     *
     * @param bodyDigest digest of the request, so that another request under the same id is noticed
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

    /** The holder of a claim gave up before it sent a byte of the request. */
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
     * A request is finished and billed.
     *
     * @param token the claim that it fulfils; empty for an idempotent request
     * @param answer kept for resends of a non-idempotent request
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
     * A session is bound to a version, or its binding is renewed.
     *
     * @param replaces the withdrawn version that the session leaves; empty unless it moves to a successor
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
