package io.heatherloft.daemon.backend;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.heatherloft.daemon.Counters;
import io.heatherloft.daemon.Ports;
import io.heatherloft.daemon.fleet.FleetState;
import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.StoreRevision;
import io.heatherloft.domain.configuration.Configuration;
import io.heatherloft.domain.configuration.Model;
import io.heatherloft.domain.configuration.VersionReference;
import io.heatherloft.domain.routing.BackendServer;
import io.heatherloft.ports.backend.EngineClient;
import io.heatherloft.ports.http.JsonHttpClient;
import io.heatherloft.ports.loop.Futures;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.ports.store.KeyValueStore;
import io.heatherloft.ports.store.RetryingWriter;
import io.heatherloft.ports.store.StoreValue;
import io.heatherloft.ports.store.WriteOutcome;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Reconciles the versions loaded on engines with the configuration, for the engines assigned to this host.
 *
 * <p>Invariants: each order carries a fencing number that this host acquired by compare-and-swap; after a takeover from
 * another host, the first order is delayed until the previous holder can no longer be sending orders; an order is
 * repeated until the engine reports the desired versions. Confined to the event loop thread.
 */
public final class EngineReconciler {
    private static final long RECONCILE_INTERVAL_MILLIS = 3_000L;
    private static final long TAKEOVER_DELAY_MILLIS = 6_000L;
    private static final String KEY_PREFIX = "heatherloft/orders/";

    private final Ports ports;
    private final FleetState fleet;
    private final Counters counters;
    private final RetryingWriter writes;
    private final Map<String, Fence> fences = new HashMap<>();
    private Loop.Cancellation schedule = () -> {};

    /** Creates a reconciler that is not started. */
    public EngineReconciler(Ports ports, FleetState fleet, Counters counters) {
        this.ports = ports;
        this.fleet = fleet;
        this.counters = counters;
        this.writes = new RetryingWriter(ports.store(), ports.loop());
    }

    /** Starts periodic reconciliation. */
    public void start() {
        schedule = ports.loop().repeat(RECONCILE_INTERVAL_MILLIS, this::reconcile);
    }

    /** Stops periodic reconciliation. */
    public void stop() {
        schedule.cancel();
    }

    private void reconcile() {
        if (fleet.configuration().generation() == 0) {
            return;
        }
        List<BackendServer> engines = fleet.hostListing().backendServers().stream()
                .filter(server -> !desiredVersions(server.pool()).isEmpty())
                .filter(server -> fleet.dispatchRules().acceptsNewRequests(server))
                .toList();
        engines.stream().filter(this::isAssignedToSelf).forEach(this::reconcileEngine);
        fences.keySet().removeIf(address -> engines.stream()
                .noneMatch(server -> server.address().equals(address) && isAssignedToSelf(server)));
    }

    private boolean isAssignedToSelf(BackendServer server) {
        return fleet.members().isSelf(fleet.members().ownerOf("orders/" + server.address()));
    }

    private List<String> desiredVersions(String pool) {
        Configuration configuration = fleet.configuration().configuration();
        return configuration.models().values().stream()
                .flatMap(model -> model.versions().stream()
                        .filter(version -> version.pool().equals(pool) && !version.withdrawn())
                        .map(Model.Version::name)
                        .map(name -> new VersionReference(model.name(), name).toString()))
                .sorted()
                .toList();
    }

    private void reconcileEngine(BackendServer server) {
        Futures.onResult(ports.engines().loadedVersions(server.address()), loaded -> {
            List<String> desired = desiredVersions(server.pool());
            if (!loaded.stream().sorted().toList().equals(desired)) {
                sendOrder(server, desired);
            }
        });
    }

    private void sendOrder(BackendServer server, List<String> desired) {
        Fence fence = fences.get(server.address());
        if (fence == null) {
            acquireFence(server.address());
            return;
        }
        if (ports.loop().nowMillis() < fence.usableFromMillis()) {
            return;
        }
        Futures.onComplete(
                ports.engines().sendOrder(server.address(), new EngineClient.EngineOrder(fence.number(), desired)),
                (outcome, failure) -> {
                    counters.count(failure == null ? "orders.given" : "orders.failed");
                    if (outcome == EngineClient.OrderOutcome.STALE) {
                        fences.remove(server.address());
                    }
                });
    }

    private void acquireFence(String address) {
        String key = KEY_PREFIX + address;
        Futures.onResult(ports.store().get(key), found -> {
            long number = found.map(EngineReconciler::fencingNumberOf).orElse(0L) + 1;
            StoreRevision revision = found.map(StoreValue::revision).orElse(KeyValueStore.ABSENT);
            Bytes value = encode(number);
            Futures.onResult(writes.put(key, value, revision, OptionalLong.empty()), outcome -> {
                if (outcome instanceof WriteOutcome.Applied) {
                    long wait = found.isPresent() ? TAKEOVER_DELAY_MILLIS : 0;
                    fences.put(address, new Fence(number, ports.loop().nowMillis() + wait));
                }
            });
        });
    }

    private Bytes encode(long number) {
        ObjectNode document = JsonHttpClient.MAPPER.createObjectNode();
        document.put("number", number);
        document.put("holder", fleet.members().self().incarnationName());
        return Bytes.ofText(document.toString());
    }

    private static long fencingNumberOf(StoreValue value) {
        return Optional.of(value.value().toText())
                .map(EngineReconciler::parseFencingNumber)
                .orElse(0L);
    }

    private static long parseFencingNumber(String json) {
        try {
            return JsonHttpClient.MAPPER.readTree(json).path("number").asLong();
        } catch (com.fasterxml.jackson.core.JsonProcessingException exception) {
            throw new IllegalStateException("cannot parse stored fencing number: " + json, exception);
        }
    }

    private record Fence(long number, long usableFromMillis) {}
}
