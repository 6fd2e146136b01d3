package io.heatherloft.router.peers;

import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.StoreRevision;
import io.heatherloft.domain.route.BackendRegistration;
import io.heatherloft.router.fleet.BackendServerState;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.IntConsumer;
import java.util.stream.IntStream;

/**
 * Hosts that gossip and send requests to servers with slots, a queue and a cache of prompt prefixes, in virtual time.
 *
 * <p>All random numbers come from the seed. Confined to the test's thread.
 */
final class LoadedFleet {
    static final String SERVICE = "llm";
    private static final int MAX_ATTEMPTS = 4;
    private static final int QUEUE_LENGTH = 25;
    private static final double PROMPT_TOKENS_PER_MILLI = 61.0;
    // Capacity of 413,058 tokens, less what 12 running requests with the longest prompts hold.
    private static final long PREFIX_CACHE_TOKENS = 275_000L;
    private static final int CLUSTER_SIZE = 5;
    private static final int CLUSTER_SPREAD_MILLIS = 200;
    private static final int ZONES = 4;

    static final List<Kind> KINDS = List.of(
            new Kind("large", 72, 4_870, 6_600, 978, 1_200),
            new Kind("medium", 88, 200, 630, 461, 900),
            new Kind("small", 117, 570, 1_800, 1_069, 150));

    /**
     * A kind of request.
     *
     * @param perSecond requests per second of all hosts at a load of 1
     * @param serviceMillis mean time in a slot at speed 1 with the shared prefix cached
     */
    record Kind(
            String name, double perSecond, int sharedTokens, int ownTokens, int prefixCount, double serviceMillis) {}

    /**
     * Size and load of a fleet.
     *
     * @param load factor of the rates and of the numbers of prefixes
     * @param speeds speeds of the servers, in turn
     * @param clustered true if callers send groups of requests with one prefix to one host
     */
    record Shape(String name, int hosts, int servers, int slots, double load, List<Double> speeds, boolean clustered) {}

    static final Shape SEVENTY = new Shape("70/98", 70, 98, 12, 1, List.of(1.0), false);
    static final Shape UNEVEN = new Shape("67/63", 67, 63, 48, 1, List.of(0.6, 1.0, 1.6), true);
    static final Shape LARGE = new Shape("360/600", 360, 600, 12, 600.0 / 98, List.of(1.0), false);

    /** The way in which a host chooses a server; it may wait for messages before it passes the server on. */
    interface Choice {
        void choose(LoadedFleet fleet, Host host, Request request, IntConsumer send);
    }

    /** A request and the servers that have rejected it. */
    static final class Request {
        final Kind kind;
        final String prefix;
        final long prefixHash;
        final double serviceMillis;
        final Set<Integer> tried = new HashSet<>();
        private long arrivedAtMillis = -1;

        Request(Kind kind, String prefix, double serviceMillis) {
            this.kind = kind;
            this.prefix = prefix;
            this.prefixHash = StableHash.of(prefix);
            this.serviceMillis = serviceMillis;
        }
    }

    /** A host and its requests. */
    final class Host {
        final int index;
        final GossipFleet.Member member;
        boolean sending = true;
        private final List<BackendServerState> states;

        Host(int index) {
            this.index = index;
            this.member = gossip.new Member("h" + index);
            member.reports.offerRelay("zone-" + index % ZONES, "10.20.30." + index + ":7443", () -> false);
            for (int server = 0; server < shape.servers(); server++) {
                learn(server);
            }
            this.states = IntStream.range(0, shape.servers())
                    .mapToObj(server -> member.registry.find(serverId(server)).orElseThrow())
                    .toList();
        }

        private void learn(int server) {
            member.registry.update(
                    new BackendRegistration(
                            serverId(server),
                            1,
                            SERVICE,
                            "10.1.1." + server + ":8000",
                            "zone-" + server % ZONES,
                            "v1",
                            shape.slots(),
                            false,
                            0L,
                            0L),
                    StoreRevision.ofFirstEra(1));
        }

        BackendServerState state(int server) {
            return states.get(server);
        }
    }

    /** A server. */
    final class Server {
        final int index;
        double speed;
        boolean present = true;
        /** Requests that hosts count as in progress. */
        int inProgress;

        private int running;
        private final Deque<Runnable> queue = new ArrayDeque<>();
        private final Map<String, Integer> cache = new LinkedHashMap<>(16, 0.75f, true);
        private long cachedTokens;

        Server(int index, double speed) {
            this.index = index;
            this.speed = speed;
        }

        /** Returns the number of requests that the server runs or queues. */
        int held() {
            return running + queue.size();
        }

        private void receive(Host host, Request request, long sentAtMillis) {
            if (running < shape.slots()) {
                run(host, request, sentAtMillis, 0);
            } else if (queue.size() < QUEUE_LENGTH) {
                long queuedAtMillis = gossip.loop.nowMillis();
                queue.add(() -> run(host, request, sentAtMillis, gossip.loop.nowMillis() - queuedAtMillis));
            } else {
                gossip.loop.schedule(gossip.networkDelayMillis(), () -> onRejected(host, request, this));
            }
        }

        private void run(Host host, Request request, long sentAtMillis, long waitMillis) {
            running++;
            measured.waits.add((double) waitMillis);
            boolean cached = cache.containsKey(request.prefix);
            Integer known = cache.put(request.prefix, request.kind.sharedTokens());
            cachedTokens += known == null ? request.kind.sharedTokens() : 0;
            Iterator<Map.Entry<String, Integer>> eldest = cache.entrySet().iterator();
            while (cachedTokens > PREFIX_CACHE_TOKENS) {
                cachedTokens -= eldest.next().getValue();
                eldest.remove();
            }
            int missing = cached ? 0 : request.kind.sharedTokens();
            measured.missedTokens += missing;
            double promptMillis = (missing + request.kind.ownTokens()) / PROMPT_TOKENS_PER_MILLI;
            double totalMillis = request.serviceMillis + missing / PROMPT_TOKENS_PER_MILLI;
            gossip.loop.schedule(
                    Math.round(promptMillis / speed) + gossip.networkDelayMillis(),
                    () -> onFirstByte(host, request, this, sentAtMillis));
            gossip.loop.schedule(Math.round(totalMillis / speed), () -> {
                running--;
                gossip.loop.schedule(gossip.networkDelayMillis(), () -> onEnd(host, request, this));
                if (!queue.isEmpty()) {
                    queue.poll().run();
                }
            });
        }
    }

    /** What was measured since the last reset. */
    static final class Measured {
        final List<Double> waits = new ArrayList<>();
        final List<Double> responses = new ArrayList<>();
        long sends;
        long rejected;
        long refused;
        long missedTokens;
        final Map<Integer, Integer> sendsByServer = new HashMap<>();

        double meanWaitMillis() {
            return waits.stream().mapToDouble(Double::doubleValue).average().orElse(0);
        }

        double meanResponseMillis() {
            return responses.stream().mapToDouble(Double::doubleValue).average().orElse(0);
        }

        double waitPercentile(double part) {
            return percentile(waits, part);
        }

        double responsePercentile(double part) {
            return percentile(responses, part);
        }

        private static double percentile(List<Double> values, double part) {
            double[] sorted = values.stream().mapToDouble(Double::doubleValue).toArray();
            Arrays.sort(sorted);
            return sorted.length == 0 ? 0 : sorted[(int) (part * (sorted.length - 1))];
        }

        double rejectedShare() {
            return sends == 0 ? 0 : (double) rejected / sends;
        }
    }

    final Shape shape;
    final GossipFleet gossip;
    final List<Host> hosts;
    final List<Server> servers;
    Measured measured = new Measured();
    private final Choice choice;
    private final Random random;
    private final Map<Kind, double[]> cumulativeWeights = new HashMap<>();
    private double burst = 1;
    private long measuredSinceMillis;
    private long messagesBefore;
    private long bytesBefore;

    LoadedFleet(Shape shape, Choice choice, long seed) {
        this.shape = shape;
        this.choice = choice;
        this.random = new Random(seed);
        this.gossip = new GossipFleet(seed, 1_000, new TextFormats(0));
        this.hosts = new ArrayList<>(
                IntStream.range(0, shape.hosts()).mapToObj(Host::new).toList());
        this.servers = IntStream.range(0, shape.servers())
                .mapToObj(index -> new Server(
                        index, shape.speeds().get(index % shape.speeds().size())))
                .toList();
        hosts.forEach(host -> host.member.startSoon());
        KINDS.forEach(kind -> {
            cumulativeWeights.put(kind, cumulativeWeights((int) (kind.prefixCount() * shape.load())));
            scheduleNext(kind);
        });
    }

    private static String serverId(int server) {
        return "llm-" + (100_000 + server);
    }

    // The most frequent prefix has about 16 times the mean rate.
    private static double[] cumulativeWeights(int count) {
        double[] cumulative = new double[count];
        double sum = 0;
        for (int index = 0; index < count; index++) {
            sum += 1 / Math.sqrt(index + 1.0);
            cumulative[index] = sum;
        }
        return cumulative;
    }

    private void scheduleNext(Kind kind) {
        int size = shape.clustered() ? CLUSTER_SIZE : 1;
        double meanMillis = 1_000.0 * size / (kind.perSecond() * shape.load() * burst);
        long delayMillis = Math.round(-Math.log(1 - random.nextDouble()) * meanMillis);
        gossip.loop.schedule(delayMillis, () -> {
            Host host = hosts.get(random.nextInt(hosts.size()));
            String prefix = kind.name() + drawPrefix(kind);
            for (int index = 0; index < size; index++) {
                // Output lengths vary by a factor of about 2 in both directions.
                double serviceMillis = kind.serviceMillis() * Math.exp(0.5 * random.nextGaussian() - 0.125);
                Request request = new Request(kind, prefix, serviceMillis);
                gossip.loop.schedule(
                        size == 1 ? 0 : random.nextInt(CLUSTER_SPREAD_MILLIS), () -> arrive(host, request));
            }
            scheduleNext(kind);
        });
    }

    private int drawPrefix(Kind kind) {
        double[] cumulative = cumulativeWeights.get(kind);
        int index = Arrays.binarySearch(cumulative, random.nextDouble() * cumulative[cumulative.length - 1]);
        return index < 0 ? Math.min(-index - 1, cumulative.length - 1) : index;
    }

    private void arrive(Host host, Request request) {
        if (host.sending) {
            request.arrivedAtMillis = request.arrivedAtMillis < 0 ? gossip.loop.nowMillis() : request.arrivedAtMillis;
            choice.choose(this, host, request, server -> send(host, request, servers.get(server)));
        }
    }

    private void send(Host host, Request request, Server server) {
        measured.sends++;
        measured.sendsByServer.merge(server.index, 1, Integer::sum);
        BackendServerState state = host.state(server.index);
        state.onRequestStart();
        server.inProgress++;
        state.recordPrefix(request.prefix, request.kind.sharedTokens());
        long sentAtMillis = gossip.loop.nowMillis();
        gossip.loop.schedule(gossip.networkDelayMillis(), () -> server.receive(host, request, sentAtMillis));
    }

    private void onRejected(Host host, Request request, Server server) {
        measured.rejected++;
        host.state(server.index).onRequestEnd();
        server.inProgress--;
        request.tried.add(server.index);
        if (request.tried.size() < MAX_ATTEMPTS) {
            arrive(host, request);
        } else {
            measured.refused++;
        }
    }

    private void onFirstByte(Host host, Request request, Server server, long sentAtMillis) {
        host.member
                .reports
                .serverSpeeds()
                .recordResponse(
                        host.state(server.index).incarnationHash(),
                        request.kind.name(),
                        gossip.loop.nowMillis() - sentAtMillis,
                        gossip.loop.nowMillis());
    }

    private void onEnd(Host host, Request request, Server server) {
        measured.responses.add((double) (gossip.loop.nowMillis() - request.arrivedAtMillis));
        host.state(server.index).onRequestEnd();
        server.inProgress--;
    }

    /** Sets the factor of all rates. */
    void setBurst(double factor) {
        burst = factor;
    }

    /** Removes every fourth server. Requests on it run to their end. */
    void removeQuarter() {
        servers.stream().filter(server -> server.index % ZONES == 0).forEach(server -> server.present = false);
    }

    /** Restarts a host, which then knows no reports. Responses to its earlier requests go nowhere. */
    void restart(int index) {
        kill(index);
        gossip.unreachable.remove(hosts.get(index).member.name);
        Host restarted = new Host(index);
        hosts.set(index, restarted);
        restarted.member.startSoon();
    }

    /** Stops a host: it sends no requests and no messages until it resumes. */
    void kill(int index) {
        hosts.get(index).sending = false;
        cutOff(index);
    }

    /** Cuts a host off from the other hosts; it goes on sending requests. */
    void cutOff(int index) {
        gossip.unreachable.add(hosts.get(index).member.name);
    }

    /** Lets a host that was stopped or cut off work again, with what it knew. */
    void resume(int index) {
        hosts.get(index).sending = true;
        gossip.unreachable.remove(hosts.get(index).member.name);
    }

    /** Advances the time and measures only what happens in it. */
    void measureFor(long millis) {
        measured = new Measured();
        measuredSinceMillis = gossip.loop.nowMillis();
        messagesBefore = gossip.messagesSent;
        bytesBefore = gossip.bytesSent;
        gossip.loop.runFor(millis);
    }

    double measuredSeconds() {
        return (gossip.loop.nowMillis() - measuredSinceMillis) / 1_000.0;
    }

    double messagesPerHostSecond() {
        return (gossip.messagesSent - messagesBefore) / measuredSeconds() / hosts.size();
    }

    double bytesPerHostSecond() {
        return (gossip.bytesSent - bytesBefore) / measuredSeconds() / hosts.size();
    }
}
