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

/** The network between entry hosts, with cuts and lost messages. */
public final class FakePeers {
    private static final long TIMEOUT_MILLIS = 1_000L;

    private final Random random;
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private final Set<String> cut = new HashSet<>();
    private double loss;
    private long bytes;

    public FakePeers(Random random) {
        this.random = random;
    }

    public void listen(String address, Schedule.HostLoop loop, PeerNetwork.Handler handler) {
        endpoints.put(address, new Endpoint(loop, handler));
    }

    public void setLoss(double probability) {
        loss = probability;
    }

    /** Cuts a host off from all others, or joins it again. */
    public void setCut(String address, boolean isCut) {
        if (isCut) {
            cut.add(address);
        } else {
            cut.remove(address);
        }
    }

    public boolean isCut(String address) {
        return cut.contains(address);
    }

    public long bytes() {
        return bytes;
    }

    public PeerNetwork viewFor(String ownAddress, Schedule.HostLoop loop) {
        return (address, request) -> call(ownAddress, loop, address, request);
    }

    private CompletableFuture<PeerReply> call(String from, Schedule.HostLoop loop, String target, PeerRequest request) {
        CompletableFuture<PeerReply> result = new CompletableFuture<>();
        bytes += request.getSerializedSize();
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
                            bytes += reply.getSerializedSize();
                            if (!isLost(from, target)) {
                                loop.schedule(1 + random.nextInt(3), () -> result.complete(reply));
                            }
                        }));
        return result;
    }

    private boolean isLost(String from, String target) {
        return cut.contains(from) || cut.contains(target) || random.nextDouble() < loss;
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

    private record Endpoint(Schedule.HostLoop loop, PeerNetwork.Handler handler) {}
}
