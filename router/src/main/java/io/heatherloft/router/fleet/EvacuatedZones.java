package io.heatherloft.router.fleet;

import io.heatherloft.domain.StoreRevision;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.log.DecisionLog;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;

/**
 * The availability zones to whose backend servers no request may be sent, by order of an operator.
 *
 * <p>Holds exactly the zones whose order is in force on this host. Listeners are called after the state has changed, once for
 * each change. Confined to the loop's thread.
 */
public final class EvacuatedZones {
    private final Loop loop;
    private final DecisionLog log;
    private final Set<String> zones = new HashSet<>();
    private final List<Consumer<String>> beginListeners = new ArrayList<>();
    private final List<ObjLongConsumer<String>> endListeners = new ArrayList<>();

    EvacuatedZones(Loop loop, DecisionLog log) {
        this.loop = loop;
        this.log = log;
    }

    /** Adds a listener that is called with the name of a zone when its evacuation begins. */
    public void addBeginListener(Consumer<String> listener) {
        beginListeners.add(listener);
    }

    /**
     * Adds a listener that is called when the evacuation of a zone ends, with the name of the zone and the time in milliseconds
     * at which this host saw the end, by the loop's clock.
     */
    public void addEndListener(ObjLongConsumer<String> listener) {
        endListeners.add(listener);
    }

    /** Returns true if no request may be sent to a server because of its zone. */
    public boolean contains(BackendServerState server) {
        return zones.contains(server.entry().availabilityZone());
    }

    /** Returns the number of evacuated zones. */
    public int count() {
        return zones.size();
    }

    /**
     * Called when an order is in force. Does nothing if the zone is already evacuated.
     *
     * @param servers number of known servers in the zone
     */
    void begin(String zone, long servers, StoreRevision revision) {
        if (zones.add(zone)) {
            logChange(zone, servers, revision, "begun");
            beginListeners.forEach(listener -> listener.accept(zone));
        }
    }

    /**
     * Called when an order has been removed. Does nothing if the zone is not evacuated.
     *
     * @param servers number of known servers in the zone
     */
    void end(String zone, long servers, StoreRevision revision) {
        if (zones.remove(zone)) {
            logChange(zone, servers, revision, "ended");
            endListeners.forEach(listener -> listener.accept(zone, loop.nowMillis()));
        }
    }

    private void logChange(String zone, long servers, StoreRevision revision, String outcome) {
        log.stateChange("zone_evacuation", line -> line.with("zone", zone)
                .with("servers", servers)
                .with("revision", revision.number())
                .with("era", revision.era())
                .with("outcome", outcome));
    }
}
