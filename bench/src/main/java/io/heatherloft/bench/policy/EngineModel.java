package io.heatherloft.bench.policy;

import io.heatherloft.domain.BoundedMap;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/**
 * Engines with a batch limit and a cache of prompt prefixes, seen by several entry hosts each through its own work and
 * through reports that lag. Virtual time; confined to one thread.
 */
final class EngineModel {
    private static final int SERVERS = 8;
    private static final int HOSTS = 6;
    private static final int BATCH_LIMIT = 16;
    private static final int CACHED_PREFIXES = 8;
    private static final int PREFIXES = 48;
    private static final double PREFILL_MILLIS = 400;
    private static final double CACHED_PREFILL_MILLIS = 60;
    private static final double TOKEN_MILLIS = 10;
    private static final double TOKEN_MILLIS_PER_RUNNING = 0.5;
    private static final int MIN_TOKENS = 40;
    private static final int TOKEN_SPREAD = 120;
    private static final double FULL_LOAD_PER_SECOND = 66;
    private static final double WARM_UP_SHARE = 0.1;

    private final Scenario scenario;
    private final Random random;
    private final List<Server> servers = new ArrayList<>();
    private final List<Set<Integer>> prefixesSeen = new ArrayList<>();
    private final int[][] outstanding = new int[HOSTS][SERVERS];
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMillis).thenComparingLong(Event::number));
    private final Histogram firstToken = new Histogram(3);
    private final Histogram wholeAnswer = new Histogram(3);
    private double now;
    private long numbers;
    private long hits;
    private long started;
    private boolean warm;

    EngineModel(Scenario scenario, Random random) {
        this.scenario = scenario;
        this.random = random;
        IntStream.range(0, SERVERS).forEach(index -> servers.add(new Server(index)));
        IntStream.range(0, HOSTS).forEach(_host -> prefixesSeen.add(new HashSet<>()));
    }

    void run(int requests, PlacementExperiment.Chooser chooser) {
        double gapMillis = 1_000 / (FULL_LOAD_PER_SECOND * scenario.load());
        double arrival = 0;
        for (int index = 0; index < requests; index++) {
            arrival += -Math.log(1 - random.nextDouble()) * gapMillis;
            int number = index;
            at(arrival, () -> {
                warm |= number > requests * WARM_UP_SHARE;
                if (scenario.loseServer() && number == requests / 2) {
                    servers.get(0).lost = true;
                }
                arrive(chooser);
            });
        }
        while (!events.isEmpty()) {
            Event event = events.poll();
            now = event.atMillis();
            event.action().run();
        }
    }

    Histogram firstToken() {
        return firstToken;
    }

    Histogram wholeAnswer() {
        return wholeAnswer;
    }

    double cachedPercent() {
        return 100.0 * hits / Math.max(1, started);
    }

    private void arrive(PlacementExperiment.Chooser chooser) {
        int host = random.nextInt(HOSTS);
        int prefix = scenario.sharedPrefixes()
                ? (int) (PREFIXES * Math.pow(random.nextDouble(), 2))
                : PREFIXES + (int) (numbers % 1_000_000);
        boolean seen = !prefixesSeen.get(host).add(prefix);
        List<View> views = servers.stream()
                .filter(server -> !server.lost)
                .map(server -> new View(
                        server.index,
                        outstanding[host][server.index],
                        seen,
                        server.reportedWaiting(now - scenario.lagMillis())))
                .toList();
        Server server =
                servers.get(views.get(chooser.choose(views, prefix, random)).server());
        outstanding[host][server.index]++;
        Request request = new Request(host, prefix, now, MIN_TOKENS + random.nextInt(TOKEN_SPREAD));
        server.waiting.add(request);
        server.startWaiting();
    }

    private void at(double millis, Runnable action) {
        events.add(new Event(millis, ++numbers, action));
    }

    /** What one entry host sees of a server. */
    record View(int server, int outstanding, boolean prefixSeen, double reportedWaiting) {}

    /**
     * Circumstances of a run.
     *
     * @param load share of what the servers can take
     * @param lagMillis age of the reports on waiting requests
     */
    record Scenario(String name, double load, boolean sharedPrefixes, double lagMillis, boolean loseServer) {
        static List<Scenario> all() {
            return List.of(
                    new Scenario("80% load", 0.8, false, 500, false),
                    new Scenario("shared prefixes", 0.8, true, 500, false),
                    new Scenario("reports lag 5 s", 0.8, true, 5_000, false),
                    new Scenario("a runner lost", 0.7, true, 500, true),
                    new Scenario("twice the load", 1.6, true, 500, false));
        }
    }

    private record Request(int host, int prefix, double arrivedAt, int tokens) {}

    private record Event(double atMillis, long number, Runnable action) {}

    private record Report(double atMillis, int waiting) {}

    private final class Server {
        private final int index;
        private final ArrayDeque<Request> waiting = new ArrayDeque<>();
        private final ArrayDeque<Report> reports = new ArrayDeque<>();
        private final Map<Integer, Boolean> cache = BoundedMap.withLruEviction(CACHED_PREFIXES);
        private int running;
        private int lastReported;
        private boolean lost;

        Server(int index) {
            this.index = index;
        }

        double reportedWaiting(double asOf) {
            while (!reports.isEmpty() && reports.peek().atMillis() <= asOf) {
                lastReported = reports.poll().waiting();
            }
            return lastReported;
        }

        void startWaiting() {
            while (running < BATCH_LIMIT && !waiting.isEmpty()) {
                start(waiting.poll());
            }
            reports.add(new Report(now, waiting.size()));
        }

        private void start(Request request) {
            running++;
            started++;
            boolean cached = cache.put(request.prefix(), Boolean.TRUE) != null;
            hits += cached ? 1 : 0;
            double prefill = cached ? CACHED_PREFILL_MILLIS : PREFILL_MILLIS;
            double decode = request.tokens() * (TOKEN_MILLIS + TOKEN_MILLIS_PER_RUNNING * running);
            at(now + prefill, () -> recordFirstToken(request));
            at(now + prefill + decode, () -> finish(request));
        }

        private void recordFirstToken(Request request) {
            double millis = now - request.arrivedAt();
            if (warm) {
                firstToken.recordValue(Math.round(millis));
            }
        }

        private void finish(Request request) {
            running--;
            outstanding[request.host()][index]--;
            if (warm) {
                wholeAnswer.recordValue(Math.round(now - request.arrivedAt()));
            }
            startWaiting();
        }
    }
}
