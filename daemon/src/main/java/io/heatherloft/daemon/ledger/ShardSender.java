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
    private static final int WINDOW = 256;
    private static final long FIRST_PAUSE_MILLIS = 25L;
    private static final long LONGEST_PAUSE_MILLIS = 2_000L;

    private final Loop loop;
    private final Function<LedgerRecord, CompletableFuture<LedgerReply>> send;
    private final ArrayDeque<LedgerRecord> waiting = new ArrayDeque<>();
    private final Map<LedgerRecord, CompletableFuture<Void>> durable = new LinkedHashMap<>();
    private int underWay;
    private boolean troubled;
    private boolean pausing;
    private long pauseMillis = FIRST_PAUSE_MILLIS;

    /** Creates a sender; {@code send} brings a record to the owner once and never throws. */
    ShardSender(Loop loop, Function<LedgerRecord, CompletableFuture<LedgerReply>> send) {
        this.loop = loop;
        this.send = send;
    }

    /** Adds a record; the future completes when it is durable. */
    CompletableFuture<Void> add(LedgerRecord record) {
        CompletableFuture<Void> done = durable.get(record);
        if (done == null) {
            done = new CompletableFuture<>();
            durable.put(record, done);
            waiting.add(record);
            sendWaiting();
        }
        return done;
    }

    boolean contains(LedgerRecord record) {
        return durable.containsKey(record);
    }

    List<LedgerRecord> records() {
        return List.copyOf(durable.keySet());
    }

    int size() {
        return durable.size();
    }

    private void sendWaiting() {
        while (!waiting.isEmpty() && underWay < window()) {
            sendNext();
        }
    }

    private int window() {
        if (pausing) {
            return 0;
        }
        return troubled ? 1 : WINDOW;
    }

    private void sendNext() {
        LedgerRecord record = waiting.poll();
        underWay++;
        Futures.onComplete(send.apply(record), (reply, failure) -> {
            underWay--;
            if (failure == null && !(reply instanceof LedgerReply.Unavailable)) {
                troubled = false;
                pauseMillis = FIRST_PAUSE_MILLIS;
                durable.remove(record).complete(null);
            } else {
                waiting.addFirst(record);
                pause();
            }
            sendWaiting();
        });
    }

    private void pause() {
        troubled = true;
        if (pausing) {
            return;
        }
        pausing = true;
        loop.schedule(pauseMillis, () -> {
            pausing = false;
            sendWaiting();
        });
        pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, pauseMillis * 2);
    }
}
