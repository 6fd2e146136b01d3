package io.heatherloft.daemon.ledger;

import io.heatherloft.domain.ledger.LedgerRecord;
import io.heatherloft.domain.ledger.LedgerReply;
import io.heatherloft.ports.loop.Futures;
import io.heatherloft.ports.loop.Loop;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * Sends the records of one shard until each is durable.
 *
 * <p>Invariants: at most a fixed number of records is under way; while the owner or the store does not answer, one
 * record at a time tries, after a growing pause, so that an outage costs few messages however many records wait.
 * Confined to the loop's thread.
 */
final class ShardSender {
    private static final int MAX_IN_FLIGHT = 256;
    private static final long INITIAL_BACKOFF_MILLIS = 25L;
    private static final long MAX_BACKOFF_MILLIS = 2_000L;

    private final Loop loop;
    private final Function<LedgerRecord, CompletableFuture<LedgerReply>> attempt;
    private final ArrayDeque<LedgerRecord> queue = new ArrayDeque<>();
    private final Map<LedgerRecord, CompletableFuture<Void>> completions = new LinkedHashMap<>();
    private int inFlight;
    private boolean lastSendFailed;
    private boolean backingOff;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;

    /** Creates a sender; {@code attempt} brings a record to the owner once and never throws. */
    ShardSender(Loop loop, Function<LedgerRecord, CompletableFuture<LedgerReply>> send) {
        this.loop = loop;
        this.attempt = send;
    }

    /** Adds a record; the future completes when it is durable. */
    CompletableFuture<Void> add(LedgerRecord record) {
        CompletableFuture<Void> done = completions.get(record);
        if (done == null) {
            done = new CompletableFuture<>();
            completions.put(record, done);
            queue.add(record);
            sendQueued();
        }
        return done;
    }

    boolean contains(LedgerRecord record) {
        return completions.containsKey(record);
    }

    List<LedgerRecord> records() {
        return List.copyOf(completions.keySet());
    }

    int size() {
        return completions.size();
    }

    private void sendQueued() {
        while (!queue.isEmpty() && inFlight < maxInFlight()) {
            sendNext();
        }
    }

    private int maxInFlight() {
        if (backingOff) {
            return 0;
        }
        return lastSendFailed ? 1 : MAX_IN_FLIGHT;
    }

    private void sendNext() {
        LedgerRecord record = queue.poll();
        inFlight++;
        Futures.onComplete(attempt.apply(record), (reply, failure) -> {
            inFlight--;
            if (failure == null && !(reply instanceof LedgerReply.Unavailable)) {
                lastSendFailed = false;
                backoffMillis = INITIAL_BACKOFF_MILLIS;
                completions.remove(record).complete(null);
            } else {
                queue.addFirst(record);
                backOff();
            }
            sendQueued();
        });
    }

    private void backOff() {
        lastSendFailed = true;
        if (backingOff) {
            return;
        }
        backingOff = true;
        loop.schedule(backoffMillis, () -> {
            backingOff = false;
            sendQueued();
        });
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
    }
}
