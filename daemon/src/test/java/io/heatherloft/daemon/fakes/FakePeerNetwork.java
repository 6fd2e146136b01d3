package io.heatherloft.daemon.fakes;

import com.google.protobuf.InvalidProtocolBufferException;
import io.heatherloft.peer.PeerNetwork;
import io.heatherloft.peer.PeerUnavailableException;
import io.heatherloft.peer.generated.PeerReply;
import io.heatherloft.peer.generated.PeerRequest;
import io.heatherloft.ports.loop.Futures;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Simulated network between hosts, with message loss and isolated hosts. */
public final class FakePeerNetwork {
    private static final long TIMEOUT_MILLIS = 1_000L;

    private final Random random;
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private final Set<String> isolated = new HashSet<>();
    private double lossProbability;
    private long sentBytes;

    public FakePeerNetwork(Random random) {
        this.random = random;
    }

    public void listen(String address, VirtualTimeScheduler.HostLoop loop, PeerNetwork.Handler handler) {
        endpoints.put(address, new Endpoint(loop, handler));
    }

    public void setLossProbability(double probability) {
        lossProbability = probability;
    }

    /** Isolates a host from all other hosts, or reconnects it. */
    public void setIsolated(String address, boolean nowIsolated) {
        if (nowIsolated) {
            isolated.add(address);
        } else {
            isolated.remove(address);
        }
    }

    public boolean isIsolated(String address) {
        return isolated.contains(address);
    }

    public long sentBytes() {
        return sentBytes;
    }

    public PeerNetwork clientFor(String ownAddress, VirtualTimeScheduler.HostLoop loop) {
        return (address, request) -> call(ownAddress, loop, address, request);
    }

    private CompletableFuture<PeerReply> call(
            String from, VirtualTimeScheduler.HostLoop loop, String target, PeerRequest request) {
        CompletableFuture<PeerReply> result = new CompletableFuture<>();
        sentBytes += request.getSerializedSize();
        Endpoint endpoint = endpoints.get(target);
        if (endpoint == null || endpoint.loop().isDead()) {
            loop.schedule(1, () -> fail(result, target, "connection refused"));
            return result;
        }
        loop.schedule(TIMEOUT_MILLIS, () -> fail(result, target, "timeout"));
        if (isLost(from, target)) {
            return result;
        }
        byte[] message = request.toByteArray();
        endpoint.loop()
                .schedule(
                        1 + random.nextInt(3),
                        () -> Futures.onResult(endpoint.handler().handle(parse(message)), reply -> {
                            sentBytes += reply.getSerializedSize();
                            if (!isLost(from, target)) {
                                loop.schedule(1 + random.nextInt(3), () -> result.complete(reply));
                            }
                        }));
        return result;
    }

    private boolean isLost(String from, String target) {
        return isolated.contains(from) || isolated.contains(target) || random.nextDouble() < lossProbability;
    }

    private static void fail(CompletableFuture<PeerReply> result, String target, String reason) {
        result.completeExceptionally(new PeerUnavailableException(target, reason));
    }

    private static PeerRequest parse(byte[] message) {
        try {
            return PeerRequest.parseFrom(message);
        } catch (InvalidProtocolBufferException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private record Endpoint(VirtualTimeScheduler.HostLoop loop, PeerNetwork.Handler handler) {}
}
