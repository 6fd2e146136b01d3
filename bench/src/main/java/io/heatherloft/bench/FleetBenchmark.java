package io.heatherloft.bench;

import com.codahale.metrics.Gauge;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.heatherloft.daemon.Daemon;
import java.io.IOException;

/** What hosts without callers cost: processor time, bytes between them, calls of the store; and how fast a generation is
 * in force on all of them. */
final class FleetBenchmark {
    private static final long SETTLE_MILLIS = 12_000L;
    private static final long MEASURE_MILLIS = 20_000L;
    private static final long QUICK_MILLIS = 500L;
    private static final long LONGEST_SPREAD_MILLIS = 30_000L;
    private static final int WORKSPACES = 20;
    private static final int CHANGES = 5;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double PERCENT = 100.0;
    private static final long MILLIS_PER_SECOND = 1_000L;

    private FleetBenchmark() {}

    static JsonNode run(boolean quick) throws IOException, InterruptedException {
        ArrayNode figures = new ObjectMapper().createArrayNode();
        for (int hosts : quick ? new int[] {2} : new int[] {4, 8, 16, 32}) {
            measure(figures, hosts, quick);
        }
        return figures;
    }

    private static void measure(ArrayNode figures, int hosts, boolean quick) throws IOException, InterruptedException {
        try (TestBed bed = TestBed.start(hosts)) {
            bed.apply(WORKSPACES);
            Thread.sleep(quick ? QUICK_MILLIS : SETTLE_MILLIS);
            long period = quick ? QUICK_MILLIS : MEASURE_MILLIS;
            long loopBefore = TestBed.loopNanos();
            long peerBefore = TestBed.peerNanos();
            long bytesBefore = sentBytes(bed);
            long storeBefore = bed.standIns().keyValueCallCount();
            Thread.sleep(period);
            double controlNanos = TestBed.loopNanos() - loopBefore + TestBed.peerNanos() - peerBefore;
            long bytes = sentBytes(bed) - bytesBefore;
            long calls = bed.standIns().keyValueCallCount() - storeBefore;
            figures.addObject()
                    .put("hosts", hosts)
                    .put("core percent a host", controlNanos / NANOS_PER_MILLI / period / hosts * PERCENT)
                    .put("bytes sent a host a second", bytes * MILLIS_PER_SECOND / period / hosts)
                    .put("store calls a second", (double) calls * MILLIS_PER_SECOND / period)
                    .put("slowest of " + CHANGES + " spreads, ms", slowestSpread(bed, quick ? 1 : CHANGES));
        }
    }

    private static long slowestSpread(TestBed bed, int changes) throws IOException, InterruptedException {
        long slowest = 0;
        for (int change = 1; change <= changes; change++) {
            bed.apply(WORKSPACES + change);
            long start = System.nanoTime();
            long expected = 1L + change;
            while (!inForce(bed, expected) && elapsedMillis(start) < LONGEST_SPREAD_MILLIS) {
                Thread.sleep(1);
            }
            slowest = Math.max(slowest, elapsedMillis(start));
        }
        return slowest;
    }

    private static boolean inForce(TestBed bed, long generation) {
        return bed.daemons().stream().allMatch(daemon -> gauge(daemon, "configuration.generation") >= generation);
    }

    private static long sentBytes(TestBed bed) {
        return bed.daemons().stream()
                .mapToLong(daemon -> gauge(daemon, "peers.sent-bytes"))
                .sum();
    }

    private static long gauge(Daemon daemon, String name) {
        Gauge<?> gauge = daemon.registry().getGauges().get(name);
        return ((Number) gauge.getValue()).longValue();
    }

    private static long elapsedMillis(long startNanos) {
        return Math.round((System.nanoTime() - startNanos) / NANOS_PER_MILLI);
    }
}
