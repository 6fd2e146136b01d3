package io.heatherloft.router.fleet;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.heatherloft.domain.route.BackendEntry;
import io.heatherloft.domain.route.CallerLimits;
import io.heatherloft.domain.route.RoutingConfiguration;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.ports.store.KeyValueStore;
import io.heatherloft.ports.store.StoreValue;
import io.heatherloft.router.log.DecisionLog;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What this host knows of the configuration, the backend servers and the roll-outs.
 *
 * <p>Invariants: the configuration's version never falls; each value carries the store's revision, and the higher one
 * wins. A value that cannot be read changes nothing. Confined to the loop's thread.
 */
public final class FleetKnowledge {
    // Time within which servers whose entries lapsed while the store was away write them again.
    private static final long REJOIN_MILLIS = 2_000L;

    private final Loop loop;
    private final StoredFormats formats;
    private final BackendRegistry registry;
    private final VersionPolicies versions;
    private final DecisionLog log;
    private final Counter unreadable;
    private final PrefixFollower operatorKeys;
    private final PrefixFollower backendKeys;
    private final PrefixFollower rolloutStates;
    private final Map<String, StoreValue> earlyStates = new HashMap<>();
    private Optional<RoutingConfiguration> configuration = Optional.empty();
    private long configurationRevision;
    private boolean backendsListed;
    private long backendsRegainedMillis = Long.MIN_VALUE / 2;

    /** Creates knowledge that is empty before {@link #start}. */
    public FleetKnowledge(
            Loop loop,
            KeyValueStore store,
            StoredFormats formats,
            BackendRegistry registry,
            VersionPolicies versions,
            DecisionLog log,
            MetricRegistry metrics) {
        this.loop = loop;
        this.formats = formats;
        this.registry = registry;
        this.versions = versions;
        this.log = log;
        this.unreadable = metrics.counter("store_values_unreadable_total");
        this.operatorKeys = new PrefixFollower(store, loop, formats.operatorPrefix(), new OperatorKeys(), log);
        this.backendKeys = new PrefixFollower(store, loop, formats.backendPrefix(), new BackendKeys(), log);
        this.rolloutStates = new PrefixFollower(store, loop, formats.rolloutStatePrefix(), new RolloutStates(), log);
    }

    /** Starts to follow the store. */
    public void start() {
        operatorKeys.start();
        backendKeys.start();
        rolloutStates.start();
    }

    /** Stops to follow the store. */
    public void stop() {
        operatorKeys.stop();
        backendKeys.stop();
        rolloutStates.stop();
    }

    /** Returns the newest configuration known. */
    public Optional<RoutingConfiguration> configuration() {
        return configuration;
    }

    /** Returns the store's revision of the configuration. */
    public long configurationRevision() {
        return configurationRevision;
    }

    /** Returns the limits on callers in force. */
    public CallerLimits limits() {
        return configuration.map(RoutingConfiguration::limits).orElse(CallerLimits.DEFAULT);
    }

    /** Returns true if enough is known to serve callers. */
    public boolean isComplete() {
        return configuration.isPresent() && backendsListed;
    }

    /** Takes a value that an operator wrote; returns true if it was news. */
    public boolean acceptConfiguration(StoreValue value) {
        if (value.revision() <= configurationRevision) {
            return false;
        }
        try {
            RoutingConfiguration read = formats.readConfiguration(value.value());
            if (configuration.map(known -> read.version() <= known.version()).orElse(false)) {
                return false;
            }
            configuration = Optional.of(read);
            configurationRevision = value.revision();
            log.belief("configuration", line -> line.with("version", read.version())
                    .with("revision", value.revision())
                    .with("routes", read.routeCount())
                    .with("outcome", "in_force"));
            return true;
        } catch (UnreadableValueException exception) {
            logUnreadable(value, exception);
            return false;
        }
    }

    private void logUnreadable(StoreValue value, UnreadableValueException exception) {
        unreadable.inc();
        log.belief("stored_value", line -> line.with("key", value.key())
                .with("revision", value.revision())
                .with("reason", exception.getMessage())
                .with("outcome", "ignored"));
    }

    private final class OperatorKeys implements PrefixFollower.Listener {
        @Override
        public void onPut(StoreValue value) {
            if (value.key().equals(formats.configurationKey())) {
                acceptConfiguration(value);
            } else if (value.key().startsWith(formats.rolloutOrderPrefix())) {
                onOrder(value);
            }
        }

        private void onOrder(StoreValue value) {
            String service = value.key().substring(formats.rolloutOrderPrefix().length());
            try {
                versions.onOrder(formats.readRolloutOrder(service, value.value()), value.revision());
                log.belief("rollout_order", line -> line.with("service", service)
                        .with("revision", value.revision())
                        .with("outcome", "known"));
                Optional.ofNullable(earlyStates.get(service)).ifPresent(FleetKnowledge.this::acceptState);
            } catch (UnreadableValueException exception) {
                logUnreadable(value, exception);
            }
        }

        @Override
        public void onDelete(String key, long revision) {
            if (key.startsWith(formats.rolloutOrderPrefix())) {
                versions.of(key.substring(formats.rolloutOrderPrefix().length()))
                        .onOrderRemoved(revision);
            }
        }
    }

    private void acceptState(StoreValue value) {
        String service = value.key().substring(formats.rolloutStatePrefix().length());
        earlyStates.put(service, value);
        try {
            versions.onState(formats.readRolloutState(service, value.value()), value.revision());
            log.belief("rollout_state", line -> line.with("service", service)
                    .with("revision", value.revision())
                    .with("outcome", "known"));
        } catch (UnreadableValueException exception) {
            logUnreadable(value, exception);
        }
    }

    private final class RolloutStates implements PrefixFollower.Listener {
        @Override
        public void onPut(StoreValue value) {
            acceptState(value);
        }

        @Override
        public void onDelete(String key, long _revision) {
            earlyStates.remove(key.substring(formats.rolloutStatePrefix().length()));
        }
    }

    private final class BackendKeys implements PrefixFollower.Listener {
        @Override
        public void onPut(StoreValue value) {
            String id = value.key().substring(formats.backendPrefix().length());
            try {
                BackendEntry entry = formats.readBackend(id, value.value());
                versions.onVersionSeen(entry.service(), entry.version());
                registry.update(entry, value.revision());
            } catch (UnreadableValueException exception) {
                logUnreadable(value, exception);
            }
        }

        @Override
        public void onDelete(String key, long revision) {
            onMissing(key, revision);
        }

        @Override
        public void onMissing(String key, long revision) {
            String id = key.substring(formats.backendPrefix().length());
            registry.find(id).ifPresent(server -> {
                // Counted from the return of the store: what is deleted after that time did not lapse in an outage.
                long graceMillis = backendsRegainedMillis + REJOIN_MILLIS - loop.nowMillis();
                if (server.entry().draining() || graceMillis <= 0) {
                    registry.remove(id, revision);
                    return;
                }
                server.markMissing();
                loop.schedule(graceMillis, () -> {
                    if (registry.find(id).filter(BackendServerState::isMissing).isPresent()) {
                        registry.remove(id, revision);
                    }
                });
            });
        }

        @Override
        public void onListed() {
            backendsListed = true;
        }

        @Override
        public void onReachable() {
            backendsRegainedMillis = loop.nowMillis();
        }
    }
}
