package io.heatherloft.daemon.fakes;

import com.codahale.metrics.MetricRegistry;
import com.google.common.hash.Hashing;
import io.heatherloft.daemon.HostCore;
import io.heatherloft.daemon.Ports;
import io.heatherloft.daemon.request.CallerChannel;
import io.heatherloft.daemon.request.RequestService;
import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.configuration.ConfigurationFile;
import io.heatherloft.domain.configuration.Workspace;
import io.heatherloft.domain.membership.Member;
import io.heatherloft.ports.backend.EngineClient;
import io.heatherloft.ports.configuration.ConfigurationRepository;
import io.heatherloft.ports.hosts.HostListing;
import io.heatherloft.ports.http.JsonHttpClient;
import io.heatherloft.ports.loop.Futures;
import io.heatherloft.ports.rating.RatingService;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** Hosts with all their real decisions over fakes of everything outside, in virtual time. */
public final class FakeFleet {
    public static final long START_MILLIS = 1_800_000_000_000L;
    private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");

    public final Random random;
    public final Schedule schedule = new Schedule(START_MILLIS);
    public final FakeStore store;
    public final FakePeers peers;
    public final FakeBackends backends;
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final Schedule.HostLoop operatorLoop = schedule.newLoop();
    private Function<RatingService.RatingRequest, Double> rating = _question -> 0.9;
    private int applications;

    public FakeFleet(long seed, int hostCount) {
        random = new Random(seed);
        store = new FakeStore(schedule, random);
        peers = new FakePeers(random);
        backends = new FakeBackends(random);
        for (int index = 0; index < 4; index++) {
            backends.add("small-" + index, "small-pool", ZONES.get(index % 3));
            backends.add("large-" + index, "large-pool", ZONES.get(index % 3));
        }
        for (int index = 0; index < 3; index++) {
            backends.add("booking-" + index, "booking-pool", ZONES.get(index));
        }
        for (int index = 0; index < hostCount; index++) {
            start("host-" + index);
        }
    }

    public static FakeFleet ready(long seed, int hostCount) {
        FakeFleet fleet = new FakeFleet(seed, hostCount);
        Futures.onResult(fleet.apply(new FakeConfiguration()), _outcome -> {});
        fleet.schedule.advance(12_000);
        return fleet;
    }

    public Host start(String id) {
        int index = Integer.parseInt(id.substring(id.indexOf('-') + 1));
        Schedule.HostLoop loop = schedule.newLoop();
        String address = id + ":1";
        Ports ports = new Ports(
                loop,
                new Random(random.nextLong()),
                store.viewFor(loop),
                peers.viewFor(address, loop),
                () -> delayed(loop, listing()),
                backends.viewFor(id, loop),
                question -> delayed(loop, rating.apply(question)),
                new LoadedEngines());
        Member self =
                new Member(id, schedule.nowMillis(), 0, address, ZONES.get(index % ZONES.size()), Member.Status.ALIVE);
        HostCore core = new HostCore(ports, self, new MetricRegistry());
        Host host = new Host(id, address, loop, core);
        hosts.put(id, host);
        peers.listen(address, loop, core.peerHandler());
        loop.execute(core::start);
        return host;
    }

    /** Replaces how answers are rated. */
    public void setRating(Function<RatingService.RatingRequest, Double> changed) {
        rating = changed;
    }

    public Host host(int index) {
        return hosts.get("host-" + index);
    }

    public List<Host> hosts() {
        return List.copyOf(hosts.values());
    }

    public List<Host> liveHosts() {
        return hosts.values().stream().filter(host -> !host.loop().isDead()).toList();
    }

    public CompletableFuture<ConfigurationRepository.ApplyOutcome> apply(FakeConfiguration configuration) {
        ConfigurationRepository repository = new ConfigurationRepository(store.viewFor(operatorLoop), operatorLoop);
        List<ConfigurationFile> files = List.of(new ConfigurationFile("all.yaml", configuration.toYaml()));
        String writer = "operator-" + applications++;
        return repository.readHead().thenCompose(head -> repository.apply(head, files, "operator", writer, "test"));
    }

    public FakeCaller chat(Host host, String model, String prompt, String session, String requestId, boolean stream) {
        FakeCaller caller = new FakeCaller();
        String body = JsonHttpClient.MAPPER
                .createObjectNode()
                .put("model", model)
                .put("stream", stream)
                .set(
                        "messages",
                        JsonHttpClient.MAPPER
                                .createArrayNode()
                                .add(JsonHttpClient.MAPPER
                                        .createObjectNode()
                                        .put("role", "user")
                                        .put("content", prompt)))
                .toString();
        host.loop().execute(() -> callerOf(host, requestId, session)
                .ifPresentOrElse(
                        who -> host.core().requests().chat(who, Bytes.ofText(body), caller),
                        () -> refuseUnknown(caller)));
        return caller;
    }

    public FakeCaller book(Host host, String text, String requestId) {
        FakeCaller caller = new FakeCaller();
        RequestService.ServiceCallParts parts =
                new RequestService.ServiceCallParts("POST", "/slots", "text/plain", Bytes.ofText(text));
        host.loop().execute(() -> callerOf(host, requestId, "")
                .ifPresentOrElse(
                        who -> host.core().requests().call(who, "booking", parts, caller),
                        () -> refuseUnknown(caller)));
        return caller;
    }

    // What the HTTP servlet answers when the key names no workspace, as on a host without configuration yet.
    private static void refuseUnknown(FakeCaller caller) {
        caller.start(new CallerChannel.ResponseHead(401, "text/plain", List.of()));
        caller.finish();
    }

    private static Optional<RequestService.Caller> callerOf(Host host, String requestId, String session) {
        Optional<Workspace> workspace = host.core().requests().authenticate("key");
        return workspace.map(found -> new RequestService.Caller(
                found,
                requestId.isEmpty() ? Optional.empty() : Optional.of(requestId),
                session.isEmpty() ? Optional.empty() : Optional.of(session)));
    }

    private HostListing listing() {
        List<HostListing.EntryHost> entries = new ArrayList<>();
        hosts.values().forEach(host -> entries.add(new HostListing.EntryHost(host.id(), host.address(), "zone-a")));
        return new HostListing(backends.listing(), entries);
    }

    private static <T> CompletableFuture<T> delayed(Schedule.HostLoop loop, T value) {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.schedule(2, () -> result.complete(value));
        return result;
    }

    public static String keyDigest() {
        return Hashing.sha256().hashString("key", StandardCharsets.UTF_8).toString();
    }

    /** One process of an entry host. */
    public record Host(String id, String address, Schedule.HostLoop loop, HostCore core) {}

    private static final class LoadedEngines implements EngineClient {
        @Override
        public CompletableFuture<OrderOutcome> sendOrder(String _address, EngineOrder _order) {
            return CompletableFuture.completedFuture(OrderOutcome.ACCEPTED);
        }

        @Override
        public CompletableFuture<List<String>> loadedVersions(String _address) {
            return CompletableFuture.failedFuture(new IllegalStateException("not asked in these tests"));
        }
    }
}
