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
 * Commits the records of one shard in batches and replies to each record when it is durable.
 *
 * <p>Invariants: at most one call on the log is in progress; after a write whose outcome is unknown or a conflict, the
 * whole shard is loaded again before the next reply, so that no reply is based on a state that another owner has
 * superseded. Confined to the event loop thread.
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

    /**
     * Creates an owner that loads its shard when the first record is submitted.
     *
     * @param onLoaded receives the next sequence number of the log after each load
     */
    ShardOwner(Loop loop, LedgerLog log, Counters counters, LongConsumer onLoaded) {
        this.loop = loop;
        this.log = log;
        this.counters = counters;
        this.onLoaded = onLoaded;
    }

    CompletableFuture<LedgerReply> submit(LedgerRecord record) {
        Submission earlier = pending.get(record);
        if (earlier != null) {
            return earlier.reply();
        }
        if (stopped) {
            return CompletableFuture.completedFuture(new LedgerReply.Unavailable("the owner stops"));
        }
        boolean backingOff = storeUnavailable && loop.nowMillis() < retryAtMillis;
        if (backingOff || pending.size() >= MAX_PENDING) {
            return CompletableFuture.completedFuture(replyFromDurableState(record));
        }
        Submission submission = new Submission(record, new CompletableFuture<>());
        pending.put(record, submission);
        processPending();
        return submission.reply();
    }

    /** Returns the number of records that wait for the next batch. */
    int pendingCount() {
        return pending.size();
    }

    /** Returns the state as of the last durable batch, if the shard is loaded. */
    Optional<LedgerShard> state() {
        return Optional.ofNullable(state);
    }

    /** Stops the owner and refuses all pending records; their senders resubmit them to the next owner. */
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

    // The flag stays set until the write is started, because completing a reply may submit a new record synchronously.
    // A second, concurrent call on the log would be evaluated against a state that the first call is about to change.
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

    // Records with the same conflict key go into different batches, so that each is evaluated after the previous one
    // has been applied.
    private Batch takeBatch() {
        List<Submission> batch = new ArrayList<>();
        Map<Submission, LedgerReply> decided = new LinkedHashMap<>();
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
                decided.put(submission, reply.get());
            } else {
                keys.add(normalized.conflictKey());
                batch.add(new Submission(normalized, submission.reply()));
            }
        }
        return new Batch(batch, decided);
    }

    // Senders keep the records that are refused here. Replies are completed last, because a receiver may resubmit
    // synchronously.
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

    // If the same record was submitted again in the meantime, both submitters get the reply to the later submission.
    private void requeue(Submission submission) {
        Submission later = pending.putIfAbsent(submission.record(), submission);
        if (later != null) {
            Futures.forward(later.reply(), submission.reply());
        }
    }

    private void resetBackoff() {
        storeUnavailable = false;
        backoffMillis = INITIAL_BACKOFF_MILLIS;
    }

    // While the store is unavailable, only replies that follow from the durable state are allowed.
    private LedgerReply replyFromDurableState(LedgerRecord record) {
        return Optional.ofNullable(state)
                .flatMap(durable -> durable.evaluate(durable.normalize(record)))
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
