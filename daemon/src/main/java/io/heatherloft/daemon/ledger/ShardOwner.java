package io.heatherloft.daemon.ledger;

import io.heatherloft.daemon.Counters;
import io.heatherloft.domain.configuration.VersionReference;
import io.heatherloft.domain.ledger.LedgerRecord;
import io.heatherloft.domain.ledger.LedgerReply;
import io.heatherloft.domain.ledger.LedgerShard;
import io.heatherloft.domain.ledger.SessionKey;
import io.heatherloft.peer.ledger.LedgerLog;
import io.heatherloft.platform.loop.Futures;
import io.heatherloft.platform.loop.Loop;
import io.heatherloft.platform.store.WriteOutcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;

/**
 * Groups the records of one shard into batches and answers each when it is durable.
 *
 * <p>Invariants: at most one call on the log is in progress; after any write that did not certainly apply the whole
 * shard is read again before a reply is given, so a reply never rests on a state that another owner has overtaken.
 * Confined to the loop's thread.
 */
final class ShardOwner {
    private static final long COMMIT_INTERVAL_MILLIS = 20L;
    private static final long FIRST_BACKOFF_MILLIS = 50L;
    private static final long LONGEST_BACKOFF_MILLIS = 2_000L;
    private static final long EXPIRY_INTERVAL_MILLIS = 60_000L;
    private static final int MAX_PENDING = 20_000;
    private static final int MAX_BATCH = 2_000;

    private final Loop loop;
    private final LedgerLog log;
    private final Counters counters;
    private final LongConsumer onStarted;
    private final LinkedHashMap<LedgerRecord, Submission> pending = new LinkedHashMap<>();
    private final Map<SessionKey, VersionReference> provisionalPins = new HashMap<>();
    private LedgerShard state;
    private boolean busy;
    private boolean storeDown;
    private long nextTryMillis;
    private long lastCommitMillis;
    private long lastExpiryMillis;
    private long backoffMillis = FIRST_BACKOFF_MILLIS;

    /** Creates an owner that reads its shard at the first record; {@code onStarted} is told the log's sequence. */
    ShardOwner(Loop loop, LedgerLog log, Counters counters, LongConsumer onStarted) {
        this.loop = loop;
        this.log = log;
        this.counters = counters;
        this.onStarted = onStarted;
    }

    CompletableFuture<LedgerReply> submit(LedgerRecord record) {
        Submission earlier = pending.get(record);
        if (earlier != null) {
            return earlier.reply();
        }
        boolean waiting = storeDown && loop.nowMillis() < nextTryMillis;
        if (pending.size() >= MAX_PENDING || (waiting && !canAnswerWithoutStore(record))) {
            counters.count("ledger.refused");
            return CompletableFuture.completedFuture(new LedgerReply.Unavailable("the store does not answer"));
        }
        Submission submission = new Submission(record, new CompletableFuture<>());
        pending.put(record, submission);
        if (waiting) {
            answerWithoutStore(submission);
        }
        proceed();
        return submission.reply();
    }

    /** Returns the number of records that wait to become durable. */
    int pendingCount() {
        return pending.size();
    }

    /** Returns the state as of the last durable batch, if the shard has been read. */
    Optional<LedgerShard> state() {
        return Optional.ofNullable(state);
    }

    /** Gives up all waiting records; their senders will find the next owner. */
    void abandon() {
        pending.values().forEach(Submission::refuse);
        pending.clear();
        state = null;
    }

    private void proceed() {
        if (busy || pending.isEmpty()) {
            return;
        }
        if (state == null) {
            load();
        } else if (log.isFoldDue()) {
            run(log.fold(state), List.of());
        } else {
            commitSoon();
        }
    }

    private void load() {
        busy = true;
        counters.count("ledger.loads");
        Futures.onComplete(log.load(), (loaded, failure) -> {
            busy = false;
            if (failure == null) {
                state = loaded;
                storeAnswered();
                onStarted.accept(log.nextSequence());
                proceed();
            } else {
                retryLater(List.of());
            }
        });
    }

    private void commitSoon() {
        busy = true;
        long wait = Math.max(0, lastCommitMillis + COMMIT_INTERVAL_MILLIS - loop.nowMillis());
        loop.schedule(wait, () -> {
            busy = false;
            commit();
        });
    }

    private void commit() {
        if (state == null) {
            proceed();
            return;
        }
        expireSometimes();
        List<Submission> batch = takeBatch();
        if (batch.isEmpty()) {
            proceed();
            return;
        }
        lastCommitMillis = loop.nowMillis();
        counters.count("ledger.commits");
        run(log.commit(batch.stream().map(Submission::record).toList()), batch);
    }

    private void run(CompletableFuture<WriteOutcome> write, List<Submission> batch) {
        busy = true;
        Futures.onComplete(write, (outcome, failure) -> {
            busy = false;
            if (outcome instanceof WriteOutcome.Applied) {
                storeAnswered();
                batch.forEach(submission -> submission.reply().complete(state.apply(submission.record())));
                proceed();
                return;
            }
            counters.count("ledger.writes-not-applied");
            if (failure != null || !(outcome instanceof WriteOutcome.Unavailable)) {
                state = null;
            }
            if (outcome instanceof WriteOutcome.Conflict) {
                batch.forEach(submission -> pending.putIfAbsent(submission.record(), submission));
                proceed();
            } else {
                retryLater(batch);
            }
        });
    }

    // Records that name the same request wait for the next batch, so that each is judged after the one before it.
    private List<Submission> takeBatch() {
        List<Submission> batch = new ArrayList<>();
        Set<String> keys = new HashSet<>();
        for (Iterator<Submission> iterator = pending.values().iterator();
                iterator.hasNext() && batch.size() < MAX_BATCH; ) {
            Submission submission = iterator.next();
            if (keys.contains(submission.record().conflictKey())) {
                continue;
            }
            iterator.remove();
            LedgerRecord normalized = state.normalize(submission.record());
            Optional<LedgerReply> reply = state.evaluate(normalized);
            if (reply.isPresent()) {
                submission.reply().complete(reply.get());
            } else {
                keys.add(normalized.conflictKey());
                batch.add(new Submission(normalized, submission.reply()));
            }
        }
        return batch;
    }

    // Senders keep what is refused here; session pins that were told to callers stay until they are written.
    private void retryLater(List<Submission> batch) {
        if (!storeDown) {
            storeDown = true;
            counters.count("ledger.store-outages");
        }
        batch.forEach(submission -> pending.putIfAbsent(submission.record(), submission));
        pending.values().forEach(this::answerWithoutStore);
        pending.values()
                .removeIf(submission ->
                        !(submission.record() instanceof LedgerRecord.SessionPin) || submission.isRefused());
        nextTryMillis = loop.nowMillis() + backoffMillis;
        busy = true;
        loop.schedule(backoffMillis, () -> {
            busy = false;
            proceed();
        });
        backoffMillis = Math.min(LONGEST_BACKOFF_MILLIS, backoffMillis * 2);
    }

    private void storeAnswered() {
        storeDown = false;
        provisionalPins.clear();
        backoffMillis = FIRST_BACKOFF_MILLIS;
    }

    private boolean canAnswerWithoutStore(LedgerRecord record) {
        return state != null
                && (record instanceof LedgerRecord.SessionPin
                        || state.evaluate(state.normalize(record)).isPresent());
    }

    // Without the store only durable state may be told; a new session pin is held here until it can be written.
    private void answerWithoutStore(Submission submission) {
        if (state != null) {
            state.evaluate(state.normalize(submission.record())).ifPresent(submission.reply()::complete);
        }
        if (state != null && submission.record() instanceof LedgerRecord.SessionPin pin) {
            VersionReference first = provisionalPins.computeIfAbsent(pin.session(), _session -> pin.version());
            submission.reply().complete(new LedgerReply.Pinned(first));
        }
        submission.refuse();
    }

    private void expireSometimes() {
        if (loop.nowMillis() - lastExpiryMillis >= EXPIRY_INTERVAL_MILLIS) {
            lastExpiryMillis = loop.nowMillis();
            state.expire(loop.nowMillis());
        }
    }

    private record Submission(LedgerRecord record, CompletableFuture<LedgerReply> reply) {
        void refuse() {
            reply.complete(new LedgerReply.Unavailable("the store does not answer"));
        }

        boolean isRefused() {
            return reply.isDone() && reply.join() instanceof LedgerReply.Unavailable;
        }
    }
}
