package io.heatherloft.router.request;

import com.google.common.hash.Hashing;
import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.route.CrashingPromptDetector;
import io.heatherloft.domain.route.CrashingRequestDetector;
import io.heatherloft.domain.route.KeyHolder;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.backend.BackendConnectionPool;
import io.heatherloft.router.backend.ExchangeFailure;
import io.heatherloft.router.fleet.BackendRegistry;
import io.heatherloft.router.fleet.BackendServerState;
import io.heatherloft.router.fleet.CrashingPrompts;
import io.heatherloft.router.http.CallerRequest;
import java.util.Optional;

/**
 * Blocks a request from being sent to further backend servers once several have crashed while executing it, or on a
 * part of its prompt.
 *
 * <p>Requests are matched by workspace, host name, target and body, because each retry by the caller can carry a
 * different attempt ID. Confined to the loop's thread.
 */
final class CrashGuard {
    private final Loop loop;
    private final CrashingRequestDetector suspects;
    private final CrashingPrompts crashingPrompts;
    private final BackendConnectionPool connectionPool;
    private final CallerRequest request;
    private final CrashingPromptDetector.Prompt prompt;
    private final String workspace;

    CrashGuard(
            Loop loop,
            BackendRegistry registry,
            BackendConnectionPool connectionPool,
            CallerRequest request,
            RequestMetadata metadata,
            Optional<KeyHolder> keyHolder) {
        this.loop = loop;
        this.suspects = registry.crashSuspects();
        this.crashingPrompts = registry.crashingPrompts();
        this.connectionPool = connectionPool;
        this.request = request;
        this.prompt = metadata.prompt();
        this.workspace = keyHolder.map(KeyHolder::workspace).orElse("");
    }

    /** Returns the reason why the request must not be sent to any server; empty if it may be sent. */
    Optional<RefusalReason> reasonToBlock() {
        if (!prompt.sharedParts().isEmpty() && crashingPrompts.isBlocked(prompt)) {
            return Optional.of(RefusalReason.CRASHING_PROMPT);
        }
        return !suspects.isEmpty() && suspects.isBlocked(fingerprint(), loop.nowMillis())
                ? Optional.of(RefusalReason.CRASHES_SERVERS)
                : Optional.empty();
    }

    /** Called when a server has begun to respond; empty if the request has no prompt that others can share. */
    Optional<CrashingPromptDetector.Response> onResponseStart(BackendServerState server) {
        return prompt.sharedParts().isEmpty()
                ? Optional.empty()
                : Optional.of(crashingPrompts.onResponseStart(server, prompt));
    }

    void onResponseInterrupted(BackendServerState server) {
        suspects.recordIncompleteAnswer(fingerprint(), server.incarnation(), loop.nowMillis());
        if (crashingPrompts.onInterruption(server)) {
            connectionPool.checkUp(server.endpoint(), () -> crashingPrompts.onCrash(server));
        }
    }

    void onNotSent(BackendServerState server, ExchangeFailure failure) {
        // A server that only this host cannot reach has not crashed.
        if (failure.confirmed()) {
            suspects.recordServerDown(server.incarnation(), loop.nowMillis());
        }
        if (failure.confirmed() && failure.refused()) {
            crashingPrompts.onCrash(server);
        }
    }

    void onResponseCompleted() {
        if (!suspects.isEmpty()) {
            suspects.recordAnswered(fingerprint(), loop.nowMillis());
        }
    }

    private long fingerprint() {
        long bodyHash =
                Hashing.murmur3_128().hashBytes(request.body().toArray()).asLong();
        return StableHash.mix(StableHash.of(workspace, request.hostName() + request.target()), bodyHash);
    }
}
