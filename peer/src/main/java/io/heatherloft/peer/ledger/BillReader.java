package io.heatherloft.peer.ledger;

import io.heatherloft.domain.ledger.LedgerShard;
import io.heatherloft.domain.ledger.Retention;
import io.heatherloft.domain.ledger.WorkspaceTotals;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.ports.store.KeyValueStore;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * Reads what each workspace was billed, from the ledger in the store.
 *
 * <p>Invariant: writes nothing. Confined to the loop's thread.
 */
public final class BillReader {
    private final KeyValueStore store;
    private final Loop loop;

    /** Creates a reader. */
    public BillReader(KeyValueStore store, Loop loop) {
        this.store = store;
        this.loop = loop;
    }

    /** Returns the totals by workspace; fails if the store does not answer. */
    public CompletableFuture<Map<String, WorkspaceTotals>> read() {
        Map<String, WorkspaceTotals> totals = new TreeMap<>();
        CompletableFuture<Void> chain = CompletableFuture.completedFuture(null);
        for (int shard = 0; shard < LedgerKeys.SHARD_COUNT; shard++) {
            LedgerLog log = new LedgerLog(store, loop, shard, "reader", Retention.DEFAULT);
            chain = chain.thenCompose(_previous -> log.load()).thenAccept(state -> merge(totals, state));
        }
        return chain.thenApply(_done -> totals);
    }

    private static void merge(Map<String, WorkspaceTotals> totals, LedgerShard state) {
        state.totals().forEach((workspace, sum) -> totals.merge(workspace, sum, WorkspaceTotals::plus));
    }
}
