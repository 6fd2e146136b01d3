package io.heatherloft.domain.ledger;

import io.heatherloft.domain.configuration.VersionReference;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * State of one shard of the ledger. Enforces that a request is billed exactly once, that a non-idempotent request runs
 * at most once, and that a session keeps its version.
 *
 * <p>A record is evaluated, made durable by the calling code and then applied. Invariants: a request is added to the
 * totals at most once within its retention time; a claim is granted to at most one token unless it is released; the
 * first pin of a session remains in force until it expires or its version is replaced by a successor. Confined to one
 * thread.
 */
public final class LedgerShard {
    private static final int SETTLED = 1;

    private final Retention retention;
    private final ExpiringHashMap settled;
    private final ExpiringHashMap pins;
    private final List<VersionReference> pinnedVersions = new ArrayList<>();
    private final Map<VersionReference, Integer> pinnedVersionIndexes = new HashMap<>();
    private final LinkedHashMap<String, ClaimState> claims = new LinkedHashMap<>();
    private final Map<String, WorkspaceTotals> totals = new HashMap<>();

    /** Creates an empty shard. */
    public LedgerShard(Retention retention) {
        this.retention = retention;
        this.settled = new ExpiringHashMap(retention.idempotentMillis());
        this.pins = new ExpiringHashMap(retention.sessionMillis());
    }

    /**
     * Evaluates a record against the current state, without changing the state.
     *
     * <p>The state may be older than the log, so a final reply is based only on what cannot be undone: that a request
     * is settled, that a claim was made, or that a session is pinned. A decision that rests on the absence of an entry
     * requires a write to the log, which reveals whether the state is current.
     *
     * @return the final reply; empty if the record must be made durable and then applied
     */
    public Optional<LedgerReply> evaluate(LedgerRecord record) {
        if (record instanceof LedgerRecord.Claim claim) {
            return evaluateClaim(claim);
        }
        if (record instanceof LedgerRecord.Release) {
            return Optional.empty();
        }
        if (record instanceof LedgerRecord.Settlement settlement) {
            return evaluateSettlement(settlement);
        }
        return evaluatePin((LedgerRecord.SessionPin) record);
    }

    /**
     * Returns the form in which a record is evaluated and stored. A pin that requests a version other than the
     * session's is changed to renew the session's version, unless it replaces a withdrawn version.
     */
    public LedgerRecord normalize(LedgerRecord record) {
        if (record instanceof LedgerRecord.SessionPin pin && pin.replaces().isEmpty()) {
            VersionReference kept = pinnedVersion(pin.session()).orElseGet(pin::version);
            return new LedgerRecord.SessionPin(pin.session(), kept, pin.replaces(), pin.atMillis());
        }
        return record;
    }

    /** Applies a durable record and returns the reply to its submitter. */
    public LedgerReply apply(LedgerRecord record) {
        if (record instanceof LedgerRecord.Claim claim) {
            claims.put(claim.key().text(), ClaimState.held(claim));
            return new LedgerReply.Granted();
        }
        if (record instanceof LedgerRecord.Release release) {
            claims.computeIfPresent(
                    release.key().text(), (_key, state) -> state.isHeldBy(release.token()) ? null : state);
            return new LedgerReply.Settled(true);
        }
        if (record instanceof LedgerRecord.Settlement settlement) {
            applySettlement(settlement);
            return new LedgerReply.Settled(true);
        }
        LedgerRecord.SessionPin pin = (LedgerRecord.SessionPin) record;
        pins.put(pin.session().hash(), indexOf(pin.version()), pin.atMillis());
        return new LedgerReply.Pinned(pin.version());
    }

    /** Removes entries that are past their retention time. */
    public void expire(long nowMillis) {
        settled.expire(nowMillis);
        pins.expire(nowMillis);
        long oldest = nowMillis - retention.atMostOnceMillis();
        claims.values().removeIf(claim -> claim.atMillis() < oldest);
    }

    /** Returns the billed totals by workspace. */
    public Map<String, WorkspaceTotals> totals() {
        return Map.copyOf(totals);
    }

    /** Restores a settled idempotent request, whose bill is included in the restored totals. */
    public void restoreSettled(long keyHash, long atMillis) {
        settled.put(keyHash, SETTLED, atMillis);
    }

    /** Restores a session pin. */
    public void restorePin(long sessionHash, VersionReference version, long atMillis) {
        pins.put(sessionHash, indexOf(version), atMillis);
    }

    /** Restores a record of a non-idempotent request, whose bill is included in the restored totals. */
    public void restoreAtMostOnce(LedgerRecord record) {
        if (record instanceof LedgerRecord.Settlement settlement) {
            answerClaim(settlement);
        } else {
            apply(record);
        }
    }

    /** Adds the totals of an earlier part of the log when a shard is restored. */
    public void restoreTotals(Map<String, WorkspaceTotals> earlier) {
        earlier.forEach((workspace, sum) -> totals.merge(workspace, sum, WorkspaceTotals::plus));
    }

    /** Returns the number of entries by kind. */
    public Size size() {
        return new Size(claims.size(), settled.size(), pins.size());
    }

    /**
     * Number of entries in a shard by kind.
     */
    public record Size(int claims, int settled, int pins) {}

    private Optional<LedgerReply> evaluateClaim(LedgerRecord.Claim claim) {
        ClaimState state = claims.get(claim.key().text());
        if (state == null) {
            return Optional.empty();
        }
        if (state.bodyDigest() != claim.bodyDigest()) {
            return Optional.of(new LedgerReply.Mismatch());
        }
        if (state.answer().isPresent()) {
            return Optional.of(new LedgerReply.AlreadyAnswered(state.answer().get()));
        }
        return Optional.of(
                state.token().equals(claim.token())
                        ? new LedgerReply.Granted()
                        : new LedgerReply.InProgress(state.atMillis()));
    }

    private Optional<LedgerReply> evaluateSettlement(LedgerRecord.Settlement settlement) {
        if (settlement.token().isEmpty()) {
            return settled.get(settlement.key().hash()).isPresent()
                    ? Optional.of(new LedgerReply.Settled(false))
                    : Optional.empty();
        }
        boolean answered = Optional.ofNullable(claims.get(settlement.key().text()))
                .map(state -> state.isAnsweredBy(settlement.token().get()))
                .orElse(false);
        return answered ? Optional.of(new LedgerReply.Settled(false)) : Optional.empty();
    }

    private Optional<LedgerReply> evaluatePin(LedgerRecord.SessionPin pin) {
        Optional<VersionReference> present = pinnedVersion(pin.session());
        if (present.isEmpty() || present.equals(pin.replaces())) {
            return Optional.empty();
        }
        boolean renewed = present.get().equals(pin.version()) && isRenewalDue(pin);
        return renewed ? Optional.empty() : Optional.of(new LedgerReply.Pinned(present.get()));
    }

    private boolean isRenewalDue(LedgerRecord.SessionPin pin) {
        return pin.atMillis() - pins.lastPutMillis(pin.session().hash()) > retention.sessionMillis() / 2;
    }

    private Optional<VersionReference> pinnedVersion(SessionKey session) {
        OptionalInt index = pins.get(session.hash());
        return index.isPresent() ? Optional.of(pinnedVersions.get(index.getAsInt())) : Optional.empty();
    }

    private void applySettlement(LedgerRecord.Settlement settlement) {
        totals.merge(settlement.key().workspace(), WorkspaceTotals.ZERO.plus(settlement.bill()), WorkspaceTotals::plus);
        if (settlement.token().isEmpty()) {
            settled.put(settlement.key().hash(), SETTLED, settlement.atMillis());
            return;
        }
        answerClaim(settlement);
    }

    private void answerClaim(LedgerRecord.Settlement settlement) {
        claims.computeIfPresent(
                settlement.key().text(), (_key, state) -> state.answered(settlement.answer(), settlement.atMillis()));
    }

    private int indexOf(VersionReference version) {
        return pinnedVersionIndexes.computeIfAbsent(version, added -> {
            pinnedVersions.add(added);
            return pinnedVersions.size() - 1;
        });
    }

    private record ClaimState(ClaimToken token, long bodyDigest, Optional<RecordedAnswer> answer, long atMillis) {
        static ClaimState held(LedgerRecord.Claim claim) {
            return new ClaimState(claim.token(), claim.bodyDigest(), Optional.empty(), claim.atMillis());
        }

        boolean isHeldBy(ClaimToken other) {
            return token.equals(other) && answer.isEmpty();
        }

        boolean isAnsweredBy(ClaimToken other) {
            return token.equals(other) && answer.isPresent();
        }

        ClaimState answered(Optional<RecordedAnswer> given, long answeredAtMillis) {
            RecordedAnswer kept = given.orElseGet(RecordedAnswer::lost);
            return new ClaimState(token, bodyDigest, Optional.of(kept), answeredAtMillis);
        }
    }
}
