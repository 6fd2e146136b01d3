package io.heatherloft.router.request;

import com.google.common.hash.Hashing;
import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.route.CrashingRequestDetector;
import io.heatherloft.domain.route.KeyHolder;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.fleet.BackendServerState;
import io.heatherloft.router.http.CallerRequest;
import java.util.Optional;

/**
 * Keeps one request from crashing further backend servers.
 *
 * <p>A request is known again by its caller, target and body, whatever identity each try states. Confined to the loop's
 * thread.
 */
final class CrashGuard {
    private final Loop loop;
    private final CrashingRequestDetector suspects;
    private final CallerRequest request;
    private final String workspace;

    CrashGuard(Loop loop, CrashingRequestDetector suspects, CallerRequest request, Optional<KeyHolder> holder) {
        this.loop = loop;
        this.suspects = suspects;
        this.request = request;
        this.workspace = holder.map(KeyHolder::workspace).orElse("");
    }

    /** Returns true if the request must not be sent to another server. */
    boolean isBlocked() {
        return !suspects.isEmpty() && suspects.isBlocked(fingerprint(), loop.nowMillis());
    }

    void onResponseInterrupted(BackendServerState server) {
        suspects.recordIncompleteAnswer(fingerprint(), server.incarnation(), loop.nowMillis());
    }

    void onServerUnreachable(BackendServerState server) {
        suspects.recordServerDown(server.incarnation(), loop.nowMillis());
    }

    void onResponseCompleted() {
        if (!suspects.isEmpty()) {
            suspects.recordAnswered(fingerprint(), loop.nowMillis());
        }
    }

    private long fingerprint() {
        long body = Hashing.murmur3_128().hashBytes(request.body().toArray()).asLong();
        return StableHash.mix(StableHash.of(workspace, request.hostName() + request.target()), body);
    }
}
