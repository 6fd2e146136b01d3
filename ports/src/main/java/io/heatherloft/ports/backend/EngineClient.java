package io.heatherloft.ports.backend;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Client that controls which versions model engines keep loaded. Confined to the event loop thread.
 */
public interface EngineClient {
    /** Tells an engine which versions to keep loaded. Idempotent. */
    CompletableFuture<OrderOutcome> sendOrder(String address, EngineOrder order);

    /** Returns the versions that an engine has loaded. */
    CompletableFuture<List<String>> loadedVersions(String address);

    /**
     * The versions that an engine should keep loaded.
     *
     * @param fencingNumber increases each time another host takes over control of the engine, so that the engine can
     *     reject orders of the former one
     */
    record EngineOrder(long fencingNumber, List<String> versions) {}

    /** An engine's response to an order. */
    enum OrderOutcome {
        /** The engine carries out the order. */
        ACCEPTED,
        /** The engine rejected the order because it has seen a higher fencing number. */
        STALE
    }
}
