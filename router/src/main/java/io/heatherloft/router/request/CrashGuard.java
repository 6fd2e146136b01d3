package io.heatherloft.router.request;

import com.google.common.hash.Hashing;
import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.route.CrashingPromptDetector;
import io.heatherloft.domain.route.KeyHolder;
import io.heatherloft.router.backend.BackendConnectionPool;
import io.heatherloft.router.backend.ExchangeFailure;
import io.heatherloft.router.fleet.BackendRegistry;
import io.heatherloft.router.fleet.BackendServerState;
import io.heatherloft.router.fleet.CrashingPrompts;
import io.heatherloft.router.fleet.CrashingRequests;
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
    private static final int FIRST_REDIRECTION_STATUS = 300;

    private final CrashingRequests crashingRequests;
    private final CrashingPrompts crashingPrompts;
    private final BackendConnectionPool connectionPool;
    private final CallerRequest request;
    private final CrashingPromptDetector.Prompt prompt;
    private final String workspace;

    CrashGuard(
            BackendRegistry registry,
            BackendConnectionPool connectionPool,
            CallerRequest request,
            RequestMetadata metadata,
            Optional<KeyHolder> keyHolder) {
        this.crashingRequests = registry.crashingRequests();
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
        return !crashingRequests.isEmpty() && crashingRequests.isBlocked(fingerprint())
                ? Optional.of(RefusalReason.CRASHES_SERVERS)
                : Optional.empty();
    }

    /** Called when the request is sent; empty if it has no prompt that others can share. */
    Optional<CrashingPromptDetector.Response> onSend(BackendServerState server) {
        return prompt.sharedParts().isEmpty() ? Optional.empty() : Optional.of(crashingPrompts.onSend(server, prompt));
    }

    void onFirstByte(CrashingPromptDetector.Response response) {
        crashingPrompts.onFirstByte(response);
    }

    void onResponseStart(CrashingPromptDetector.Response response) {
        crashingPrompts.onResponseStart(response);
    }

    /** Called when the run has ended, other than by an interruption. */
    void onEnd(CrashingPromptDetector.Response response) {
        crashingPrompts.onEnd(response);
    }

    /** Called when a run was interrupted, which can be that of a request without a prompt. */
    void onInterrupted(BackendServerState server, Optional<CrashingPromptDetector.Response> response) {
        boolean _checked =
                response.map(crashingPrompts::onInterruption).orElseGet(() -> crashingPrompts.onInterruption(server));
    }

    /** Called after the interruption of a run if the request is still being executed. */
    void onResponseInterrupted(BackendServerState server, long sentAtMillis) {
        crashingRequests.onIncompleteRun(server, fingerprint(), sentAtMillis);
        connectionPool.checkUp(server.endpoint(), () -> onCrash(server));
    }

    /** Called when this host has cancelled a run. Its server can crash on it all the same. */
    void onCancelled(BackendServerState server, long sentAtMillis) {
        crashingRequests.onIncompleteRun(server, fingerprint(), sentAtMillis);
    }

    void onNotSent(BackendServerState server, ExchangeFailure failure) {
        // A server that only this host cannot reach has not crashed.
        if (failure.confirmed()) {
            crashingRequests.onServerDown(server);
        }
        if (failure.confirmed() && failure.refused()) {
            crashingPrompts.onCrash(server);
        }
    }

    private void onCrash(BackendServerState server) {
        crashingRequests.onServerDown(server);
        crashingPrompts.onCrash(server);
    }

    /** Called with a complete response. One that is no success does not show that the request has run. */
    void onResponseCompleted(int status) {
        if (status < FIRST_REDIRECTION_STATUS && !crashingRequests.isEmpty()) {
            crashingRequests.onAnswered(fingerprint());
        }
    }

    private long fingerprint() {
        long bodyHash =
                Hashing.murmur3_128().hashBytes(request.body().toArray()).asLong();
        return StableHash.mix(StableHash.of(workspace, request.hostName() + request.target()), bodyHash);
    }
}
