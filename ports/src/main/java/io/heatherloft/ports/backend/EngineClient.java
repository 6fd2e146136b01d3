package io.heatherloft.ports.backend;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Orders to model engines. Confined to the loop's thread.
 */
public interface EngineClient {
    /** Tells an engine which versions to keep loaded; repeating an order changes nothing. */
    CompletableFuture<OrderOutcome> sendOrder(String address, EngineOrder order);

    /** Reads which versions an engine has loaded. */
    CompletableFuture<List<String>> loadedVersions(String address);

    /**
     * The versions an engine should have.
     *
     * @param fencingNumber grows with each change of the host that gives orders to this engine
     */
    record EngineOrder(long fencingNumber, List<String> versions) {}

    /** What an engine said of an order. */
    enum OrderOutcome {
        /** The order is carried out. */
        ACCEPTED,
        /** The engine has seen a higher fencing number. */
        STALE
    }
}
