package io.heatherloft.daemon.ledger;

import io.heatherloft.daemon.Counters;
import io.heatherloft.domain.ledger.LedgerRecord;
import io.heatherloft.domain.ledger.LedgerReply;
import io.heatherloft.domain.ledger.LedgerShard;
import io.heatherloft.peer.ledger.LedgerLog;
import io.heatherloft.ports.loop.Futures;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.ports.store.WriteOutcome;
import java.util.ArrayList;
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
    private static final long COMMIT_INTERVAL_MILLIS = 50L;
    private static final long INITIAL_BACKOFF_MILLIS = 50L;
    private static final long MAX_BACKOFF_MILLIS = 2_000L;
    private static final long EXPIRY_INTERVAL_MILLIS = 60_000L;
    private static final int MAX_PENDING = 20_000;
    private static final int MAX_BATCH_SIZE = 2_000;

    private final Loop loop;
    private final LedgerLog log;
    private final Counters counters;
    private final LongConsumer onLoaded;
    private final LinkedHashMap<LedgerRecord, Submission> pending = new LinkedHashMap<>();
    private LedgerShard state;
    private boolean logBusy;
    private boolean storeUnavailable;
    private boolean stopped;
    private long retryAtMillis;
    private long lastCommitMillis;
    private long lastExpiryMillis;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;

    /** Creates an owner that reads its shard at the first record; {@code onLoaded} is told the log's sequence. */
    ShardOwner(Loop loop, LedgerLog log, Counters counters, LongConsumer onStarted) {
        this.loop = loop;
        this.log = log;
        this.counters = counters;
        this.onLoaded = onStarted;
    }

    CompletableFuture<LedgerReply> submit(LedgerRecord record) {
        Submission earlier = pending.get(record);
        if (earlier != null) {
            return earlier.reply();
        }
        if (stopped) {
            return CompletableFuture.completedFuture(new LedgerReply.Unavailable("the owner stops"));
        }
        boolean pausing = storeUnavailable && loop.nowMillis() < retryAtMillis;
        if (pausing || pending.size() >= MAX_PENDING) {
            return CompletableFuture.completedFuture(replyFromDurableState(record));
        }
        Submission submission = new Submission(record, new CompletableFuture<>());
        pending.put(record, submission);
        processPending();
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
    void stop() {
        stopped = true;
        List<Submission> unanswered = List.copyOf(pending.values());
        pending.clear();
        state = null;
        unanswered.forEach(Submission::completeUnavailable);
    }

    private void processPending() {
        if (logBusy || stopped || pending.isEmpty()) {
            return;
        }
        if (state == null) {
            load();
        } else if (log.isCompactionDue()) {
            handleWrite(log.compact(state), List.of());
        } else {
            scheduleCommit();
        }
    }

    private void load() {
        logBusy = true;
        counters.count("ledger.loads");
        Futures.onComplete(log.load(), (loaded, failure) -> {
            logBusy = false;
            if (failure == null) {
                state = loaded;
                resetBackoff();
                onLoaded.accept(log.nextSequence());
                processPending();
            } else {
                backOff(List.of());
            }
        });
    }

    private void scheduleCommit() {
        logBusy = true;
        long wait = Math.max(0, lastCommitMillis + COMMIT_INTERVAL_MILLIS - loop.nowMillis());
        loop.schedule(wait, this::commit);
    }

    // Stays busy until the batch is on its way: an answer given here may lead to a new record at once, and a second
    // call on the log beside the first would be judged by a state that the first is about to change.
    private void commit() {
        if (stopped) {
            return;
        }
        expireIfDue();
        Batch batch = takeBatch();
        if (batch.toAppend().isEmpty()) {
            logBusy = false;
        } else {
            lastCommitMillis = loop.nowMillis();
            counters.count("ledger.commits");
            List<LedgerRecord> records =
                    batch.toAppend().stream().map(Submission::record).toList();
            handleWrite(log.commit(records), batch.toAppend());
        }
        batch.decided().forEach((submission, reply) -> submission.reply().complete(reply));
        processPending();
    }

    private void handleWrite(CompletableFuture<WriteOutcome> write, List<Submission> batch) {
        logBusy = true;
        Futures.onComplete(write, (outcome, failure) -> {
            logBusy = false;
            if (stopped) {
                batch.forEach(Submission::completeUnavailable);
                return;
            }
            if (outcome instanceof WriteOutcome.Applied) {
                resetBackoff();
                List<LedgerReply> replies = batch.stream()
                        .map(submission -> state.apply(submission.record()))
                        .toList();
                for (int index = 0; index < replies.size(); index++) {
                    batch.get(index).reply().complete(replies.get(index));
                }
                processPending();
                return;
            }
            counters.count("ledger.writes-not-applied");
            if (failure != null || !(outcome instanceof WriteOutcome.Unavailable)) {
                state = null;
            }
            if (outcome instanceof WriteOutcome.Conflict) {
                batch.forEach(this::requeue);
                processPending();
            } else {
                backOff(batch);
            }
        });
    }

    // Records that name the same request wait for the next batch, so that each is judged after the one before it.
    private Batch takeBatch() {
        List<Submission> batch = new ArrayList<>();
        Map<Submission, LedgerReply> known = new LinkedHashMap<>();
        Set<String> keys = new HashSet<>();
        for (Iterator<Submission> iterator = pending.values().iterator();
                iterator.hasNext() && batch.size() < MAX_BATCH_SIZE; ) {
            Submission submission = iterator.next();
            if (keys.contains(submission.record().conflictKey())) {
                continue;
            }
            iterator.remove();
            LedgerRecord normalized = state.normalize(submission.record());
            Optional<LedgerReply> reply = state.evaluate(normalized);
            if (reply.isPresent()) {
                known.put(submission, reply.get());
            } else {
                keys.add(normalized.conflictKey());
                batch.add(new Submission(normalized, submission.reply()));
            }
        }
        return new Batch(batch, known);
    }

    // Senders keep what is refused here. Answers are given last, since whoever receives one may submit again at once.
    private void backOff(List<Submission> batch) {
        if (!storeUnavailable) {
            storeUnavailable = true;
            counters.count("ledger.store-outages");
        }
        batch.forEach(this::requeue);
        List<Submission> unanswered = List.copyOf(pending.values());
        pending.clear();
        retryAtMillis = loop.nowMillis() + backoffMillis;
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
        unanswered.forEach(submission -> submission.reply().complete(replyFromDurableState(submission.record())));
    }

    // The same record may have been submitted again meanwhile; then both submitters get the answer of the later one.
    private void requeue(Submission submission) {
        Submission again = pending.putIfAbsent(submission.record(), submission);
        if (again != null) {
            Futures.forward(again.reply(), submission.reply());
        }
    }

    private void resetBackoff() {
        storeUnavailable = false;
        backoffMillis = INITIAL_BACKOFF_MILLIS;
    }

    // Without the store only what is durable already may be told.
    private LedgerReply replyFromDurableState(LedgerRecord record) {
        return Optional.ofNullable(state)
                .flatMap(known -> known.evaluate(known.normalize(record)))
                .orElseGet(ShardOwner::unavailable);
    }

    private static LedgerReply unavailable() {
        return new LedgerReply.Unavailable("the store does not answer");
    }

    private void expireIfDue() {
        if (loop.nowMillis() - lastExpiryMillis >= EXPIRY_INTERVAL_MILLIS) {
            lastExpiryMillis = loop.nowMillis();
            state.expire(loop.nowMillis());
        }
    }

    private record Batch(List<Submission> toAppend, Map<Submission, LedgerReply> decided) {}

    private record Submission(LedgerRecord record, CompletableFuture<LedgerReply> reply) {
        void completeUnavailable() {
            reply.complete(unavailable());
        }
    }
}
