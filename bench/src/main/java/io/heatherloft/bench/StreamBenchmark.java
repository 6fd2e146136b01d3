package io.heatherloft.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Stream;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * What callers cost one host: processor time of its loop a token and a request, time to the first token, and calls of the
 * store, with streams from stand-ins over loopback.
 */
final class StreamBenchmark {
    private static final long MEASURE_MILLIS = 8_000L;
    private static final long QUICK_MILLIS = 500L;
    private static final int WARM_UP_STREAMS = 400;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long MILLIS_PER_SECOND = 1_000L;
    private static final ExecutorService READERS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "bench-reader");
        thread.setDaemon(true);
        return thread;
    });
    private static final double PERCENTILE = 95.0;

    private StreamBenchmark() {}

    static JsonNode run(boolean quick) throws IOException, InterruptedException {
        ArrayNode figures = new ObjectMapper().createArrayNode();
        try (TestBed bed = TestBed.start(2)) {
            bed.apply(20);
            Thread.sleep(5_000);
            HttpClient client =
                    HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
            CompletableFuture<?>[] warmUp = Stream.generate(() -> send(client, bed, new Sample(), new Load(1, 0), 0))
                    .limit(quick ? 1 : WARM_UP_STREAMS)
                    .toArray(CompletableFuture<?>[]::new);
            CompletableFuture.allOf(warmUp).join();
            for (int minTokens : quick ? new int[] {0} : new int[] {0, 100, 300}) {
                for (int perSecond : quick ? new int[] {10} : new int[] {10, 25, 50}) {
                    measure(
                            figures,
                            client,
                            bed,
                            new Load(perSecond, minTokens),
                            quick ? QUICK_MILLIS : MEASURE_MILLIS);
                }
            }
        }
        return figures;
    }

    private static void measure(ArrayNode figures, HttpClient client, TestBed bed, Load load, long period)
            throws InterruptedException {
        Sample sample = new Sample();
        long loopBefore = TestBed.loopNanos();
        long callsBefore = bed.standIns().keyValueCallCount();
        List<CompletableFuture<Void>> streams = new ArrayList<>();
        long start = System.nanoTime();
        int total = (int) (load.perSecond() * period / MILLIS_PER_SECOND);
        for (int index = 0; index < total; index++) {
            long due = start + index * MILLIS_PER_SECOND * NANOS_PER_MILLI / load.perSecond();
            long wait = (due - System.nanoTime()) / NANOS_PER_MILLI;
            if (wait > 0) {
                Thread.sleep(wait);
            }
            streams.add(send(client, bed, sample, load, index));
        }
        CompletableFuture.allOf(streams.toArray(CompletableFuture<?>[]::new)).join();
        double seconds = (System.nanoTime() - start) / (double) NANOS_PER_MILLI / MILLIS_PER_SECOND;
        double nanos = TestBed.loopNanos() - loopBefore;
        long calls = bed.standIns().keyValueCallCount() - callsBefore;
        figures.addObject()
                .put("requests a second", load.perSecond())
                .put("tokens a request at least", load.minTokens())
                .put("requests", sample.requests.sum())
                .put("failed", sample.failed.sum())
                .put("tokens", sample.tokens.sum())
                .put("loop microseconds a request", nanos / NANOS_PER_MICRO / total)
                .put("loop microseconds a token", nanos / NANOS_PER_MICRO / Math.max(1, sample.tokens.sum()))
                .put("loop core percent", nanos / NANOS_PER_MILLI / seconds / 10)
                .put("p95 first token, ms", sample.firstToken.getValueAtPercentile(PERCENTILE))
                .put("store calls a second", calls / seconds);
    }

    private static CompletableFuture<Void> send(HttpClient client, TestBed bed, Sample sample, Load load, int number) {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + bed.callerAddress(0) + "/v1/chat/completions"))
                .header("Authorization", "Bearer key-" + number % 20)
                .POST(HttpRequest.BodyPublishers.ofString(
                        "{\"model\":\"small\",\"stream\":true,\"min_tokens\":" + load.minTokens()
                                + ",\"messages\":[{\"role\":\"user\",\"content\":\"question " + number + "\"}]}"))
                .build();
        long start = System.nanoTime();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofLines())
                .thenAcceptAsync(response -> read(response, sample, start), READERS);
    }

    private static void read(HttpResponse<Stream<String>> response, Sample sample, long start) {
        sample.requests.increment();
        boolean[] seen = new boolean[1];
        boolean[] closed = new boolean[1];
        response.body().filter(line -> line.startsWith("data:")).forEach(line -> {
            if (line.endsWith("[DONE]")) {
                closed[0] = true;
                return;
            }
            sample.tokens.increment();
            if (!seen[0]) {
                seen[0] = true;
                sample.firstToken.recordValue((System.nanoTime() - start) / NANOS_PER_MILLI);
            }
        });
        if (!closed[0]) {
            sample.failed.increment();
        }
    }

    private record Load(int perSecond, int minTokens) {}

    private static final class Sample {
        private final LongAdder requests = new LongAdder();
        private final LongAdder failed = new LongAdder();
        private final LongAdder tokens = new LongAdder();
        private final ConcurrentHistogram firstToken = new ConcurrentHistogram(3);
    }
}
