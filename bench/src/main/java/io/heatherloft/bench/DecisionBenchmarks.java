package io.heatherloft.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.admission.FairQueue;
import io.heatherloft.domain.configuration.ConfigurationFile;
import io.heatherloft.domain.configuration.ConfigurationParser;
import io.heatherloft.domain.ledger.LedgerRecord;
import io.heatherloft.domain.ledger.LedgerShard;
import io.heatherloft.domain.ledger.Retention;
import io.heatherloft.domain.membership.Fact;
import io.heatherloft.domain.membership.FactSet;
import io.heatherloft.domain.membership.MemberTable;
import io.heatherloft.domain.routing.BackendServer;
import io.heatherloft.domain.routing.Placement;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.Options;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/**
 * Processor time of the decisions, each at several sizes. Runs within this process, since a process starts no other.
 */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class DecisionBenchmarks {
    private static final long NOW = 1_800_000_000_000L;

    static JsonNode run(boolean quick) throws RunnerException {
        Options options = new OptionsBuilder()
                .include(DecisionBenchmarks.class.getSimpleName())
                .forks(0)
                .warmupIterations(quick ? 0 : 3)
                .warmupTime(TimeValue.milliseconds(300))
                .measurementIterations(quick ? 1 : 5)
                .measurementTime(TimeValue.milliseconds(quick ? 10 : 300))
                .build();
        ArrayNode figures = new ObjectMapper().createArrayNode();
        for (RunResult result : new Runner(options).run()) {
            figures.addObject()
                    .put("decision", result.getPrimaryResult().getLabel())
                    .put(
                            "size",
                            result.getParams()
                                    .getParam(result.getParams()
                                            .getParamsKeys()
                                            .iterator()
                                            .next()))
                    .put("nanoseconds", Math.round(result.getPrimaryResult().getScore()))
                    .put("error", Math.round(result.getPrimaryResult().getScoreError()));
        }
        return figures;
    }

    /** Candidates of a pool. */
    @State(Scope.Thread)
    public static class Pool {
        /** Backend servers. */
        @Param({"8", "43", "172", "600"})
        public int servers;

        private List<Placement.Candidate> candidates;
        private long request;

        /** Makes the candidates. */
        @Setup
        public void setUp() {
            candidates = IntStream.range(0, servers)
                    .mapToObj(index -> new Placement.Candidate(
                            new BackendServer("10.0.0." + index + ":80", "pool", "zone", false),
                            StableHash.mix(index, 7),
                            index % 5,
                            16,
                            index % 3))
                    .toList();
        }
    }

    /** Chooses a backend server. */
    @Benchmark
    public Optional<Placement.Candidate> placement(Pool pool) {
        return Placement.choose(pool.candidates, StableHash.mix(pool.request++, 3), true);
    }

    /** Facts known to a host. */
    @State(Scope.Thread)
    public static class Facts {
        /** Facts. */
        @Param({"10", "100", "1000"})
        public int facts;

        private FactSet known;

        /** Makes the facts. */
        @Setup
        public void setUp() {
            known = new FactSet();
            IntStream.range(0, facts)
                    .forEach(index -> known.add(
                            new Fact(Fact.Kind.CRASHED_BACKEND, "fingerprint-" + index, "server", 1, NOW + 1_000),
                            NOW));
        }
    }

    /** Asks the crash rules about a request. */
    @Benchmark
    public int factLookup(Facts facts) {
        return facts.known.details(Fact.Kind.CRASHED_BACKEND, "fingerprint-5").size();
    }

    /** Entry hosts that a host knows. */
    @State(Scope.Thread)
    public static class Members {
        /** Hosts. */
        @Param({"8", "90", "360"})
        public int hosts;

        private MemberTable table;

        /** Makes the members. */
        @Setup
        public void setUp() {
            table = SampleData.members(hosts);
        }
    }

    /** Chooses what a gossip message mentions. */
    @Benchmark
    public int gossipMention(Members members) {
        return members.table.selectForGossip(8).size();
    }

    /** Finds the host of a duty. */
    @Benchmark
    public int rendezvous(Members members) {
        return members.table.rendezvous("ledger/3", 1).size();
    }

    /** A shard with entries. */
    @State(Scope.Thread)
    public static class Shard {
        /** Settled requests that the shard remembers. */
        @Param({"10000", "100000", "600000"})
        public int remembered;

        private LedgerShard shard;
        private long next;

        /** Fills the shard. */
        @Setup
        public void setUp() {
            shard = new LedgerShard(Retention.DEFAULT);
            IntStream.range(0, remembered).forEach(index -> shard.restoreSettled(StableHash.mix(index, 11), NOW));
        }
    }

    /** Judges and applies a settlement. */
    @Benchmark
    public Object ledgerSettlement(Shard shard) {
        LedgerRecord settlement = SampleData.settlement(shard.next++, NOW);
        return shard.shard.evaluate(settlement).isPresent() ? settlement : shard.shard.apply(settlement);
    }

    /** Workspaces that wait. */
    @State(Scope.Thread)
    public static class Queue {
        /** Workspaces. */
        @Param({"10", "100", "1000"})
        public int workspaces;

        private FairQueue<Integer> queue;
        private int next;

        /** Makes the queue. */
        @Setup
        public void setUp() {
            queue = new FairQueue<>(100_000);
            IntStream.range(0, workspaces).forEach(index -> queue.offer("workspace-" + index, 1, 100, 0, index));
        }
    }

    /** Queues one request and takes the next. */
    @Benchmark
    public Optional<Integer> admission(Queue queue) {
        int number = queue.next++;
        queue.queue.offer("workspace-" + number % queue.workspaces, 1, 100, 0, number);
        return queue.queue.poll(_item -> true);
    }

    /** A configuration. */
    @State(Scope.Thread)
    public static class Files {
        /** Workspaces declared. */
        @Param({"10", "100", "400"})
        public int declared;

        private List<ConfigurationFile> files;

        /** Makes the files. */
        @Setup
        public void setUp() {
            files = List.of(new ConfigurationFile("all.yaml", SampleData.configuration(declared)));
        }
    }

    /** Parses a configuration. */
    @Benchmark
    public Object configurationParse(Files files) {
        return ConfigurationParser.parse(files.files);
    }
}
