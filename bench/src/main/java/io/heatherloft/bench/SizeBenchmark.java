package io.heatherloft.bench;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.heatherloft.daemon.Counters;
import io.heatherloft.daemon.fleet.FleetState;
import io.heatherloft.daemon.fleet.Gossiper;
import io.heatherloft.daemon.fleet.ShardOwners;
import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.configuration.VersionReference;
import io.heatherloft.domain.ledger.ClaimToken;
import io.heatherloft.domain.ledger.LedgerRecord;
import io.heatherloft.domain.ledger.LedgerShard;
import io.heatherloft.domain.ledger.RequestKey;
import io.heatherloft.domain.ledger.Retention;
import io.heatherloft.peer.LedgerCodec;
import io.heatherloft.peer.generated.LedgerBatch;
import io.heatherloft.ports.loop.Loop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

/** Bytes of messages and stored values, and memory of what is kept, each at several sizes. */
final class SizeBenchmark {
    private static final long NOW = 1_800_000_000_000L;
    private static final int COLLECTIONS = 4;

    private SizeBenchmark() {}

    static JsonNode run(boolean quick) throws InterruptedException {
        ArrayNode figures = new ObjectMapper().createArrayNode();
        for (int hosts : new int[] {8, 90, 360}) {
            add(figures, "gossip header bytes", hosts, gossipBytes(hosts));
        }
        for (int records : new int[] {1, 22, 223}) {
            add(figures, "ledger batch bytes", records, batchBytes(records));
        }
        for (int workspaces : new int[] {10, 100, 400}) {
            int bytes = SampleData.configuration(workspaces).getBytes(StandardCharsets.UTF_8).length;
            add(figures, "configuration bytes", workspaces, bytes);
        }
        int[] sizes = quick ? new int[] {1_000} : new int[] {100_000, 300_000, 600_000};
        for (int size : sizes) {
            add(figures, "memory bytes of settled requests", size, memoryOf(size, SizeBenchmark::settled));
            add(figures, "memory bytes of session pins", size, memoryOf(size, SizeBenchmark::pinned));
            add(figures, "memory bytes of claims", size / 10, memoryOf(size / 10, SizeBenchmark::claimed));
            add(figures, "memory bytes of outbox records", size / 10, memoryOf(size / 10, SizeBenchmark::outbox));
        }
        return figures;
    }

    private static void add(ArrayNode figures, String what, int size, long value) {
        figures.addObject().put("what", what).put("size", size).put("value", value);
    }

    private static int gossipBytes(int hosts) {
        Loop loop = new StillLoop();
        FleetState fleet = new FleetState(loop, SampleData.members(hosts));
        IntStream.range(0, 8).forEach(shard -> fleet.shardOwners()
                .merge(new ShardOwners.Announcement(shard, 1_000_000, "entry-host-" + shard)));
        Gossiper gossiper = new Gossiper(
                loop, (_address, _request) -> new CompletableFuture<>(), fleet, new Counters(new MetricRegistry()));
        return gossiper.header().getSerializedSize();
    }

    private static int batchBytes(int records) {
        LedgerBatch.Builder batch =
                LedgerBatch.newBuilder().setSequence(1_000_000).setWriter("entry-host-1#1800000000000");
        IntStream.range(0, records)
                .forEach(number -> batch.addRecords(LedgerCodec.encode(SampleData.settlement(number, NOW))));
        return batch.build().getSerializedSize();
    }

    private static Object settled(int size) {
        LedgerShard shard = new LedgerShard(Retention.DEFAULT);
        IntStream.range(0, size)
                .forEach(index -> shard.restoreSettled(StableHash.mix(index, 5), NOW + index * 600_000L / size));
        return shard;
    }

    private static Object pinned(int size) {
        LedgerShard shard = new LedgerShard(Retention.DEFAULT);
        VersionReference version = new VersionReference("small", "1");
        IntStream.range(0, size)
                .forEach(index -> shard.restorePin(StableHash.mix(index, 5), version, NOW + index * 7_200_000L / size));
        return shard;
    }

    private static Object claimed(int size) {
        LedgerShard shard = new LedgerShard(Retention.DEFAULT);
        IntStream.range(0, size)
                .forEach(index -> shard.apply(new LedgerRecord.Claim(
                        new RequestKey("workspace", RequestKey.Kind.AT_MOST_ONCE, "booking:id-" + index),
                        new ClaimToken("entry-host-1#1800000000000", index),
                        index,
                        NOW)));
        return shard;
    }

    private static Object outbox(int size) {
        List<LedgerRecord> records = new ArrayList<>();
        IntStream.range(0, size).forEach(index -> records.add(SampleData.settlement(index, NOW)));
        return records;
    }

    private static long memoryOf(int size, IntFunction<Object> maker) throws InterruptedException {
        long before = usedAfterCollection();
        Object kept = maker.apply(size);
        long after = usedAfterCollection();
        return kept.hashCode() == 0 ? 0 : after - before;
    }

    @SuppressWarnings("SystemGc") // The heap is only comparable after a collection.
    private static long usedAfterCollection() throws InterruptedException {
        for (int index = 0; index < COLLECTIONS; index++) {
            System.gc();
            Thread.sleep(50);
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** A loop on which nothing runs. */
    private static final class StillLoop implements Loop {
        @Override
        public long nowMillis() {
            return NOW;
        }

        @Override
        public void execute(Runnable _task) {}

        @Override
        public Cancellation schedule(long _delayMillis, Runnable _task) {
            return () -> {};
        }
    }
}
