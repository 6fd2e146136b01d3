package io.heatherloft.router.fleet;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.rollout.RolloutProgress;
import io.heatherloft.domain.route.BackendRegistration;
import io.heatherloft.domain.route.CallerLimits;
import io.heatherloft.domain.route.CrashRecord;
import io.heatherloft.domain.route.RoutingConfiguration;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.ports.store.KeyValueStore;
import io.heatherloft.ports.store.StoreValue;
import io.heatherloft.router.log.DecisionLog;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * This host's view of the configuration, the backend servers and the rollouts.
 *
 * <p>Values come from the store and, through gossip, from other hosts. Of two values of a key the one with the higher
 * store revision wins, whatever its source. The version of the configuration never decreases. Values that cannot be
 * parsed are ignored. Confined to the loop's thread.
 */
public final class FleetView {
    // Servers whose leases expired while the store was unreachable register again within this time.
    private static final long REREGISTRATION_GRACE_MILLIS = 2_000L;

    private final Loop loop;
    private final StoredFormats formats;
    private final BackendRegistry registry;
    private final VersionPolicies versions;
    private final DecisionLog log;
    private final Counter unreadableValues;
    private final List<WatchedPrefix> prefixes;
    private final WatchedPrefix backends;
    private Optional<RoutingConfiguration> configuration = Optional.empty();
    private long configurationRevision;
    private boolean backendsListed;

    /** Creates a view that is empty until {@link #start}. */
    public FleetView(
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
        this.unreadableValues = metrics.counter("store_values_unreadable_total");
        WatchedPrefix operators = new WatchedPrefix(store, formats.operatorPrefix());
        this.backends = new WatchedPrefix(store, formats.backendPrefix());
        WatchedPrefix states = new WatchedPrefix(store, formats.rolloutStatePrefix());
        WatchedPrefix ofHosts = new WatchedPrefix(store, formats.hostPrefix());
        this.prefixes = List.of(operators, backends, states, ofHosts);
    }

    /** Starts watching the store. */
    public void start() {
        prefixes.forEach(prefix -> prefix.watcher.start());
    }

    /** Stops watching the store. */
    public void stop() {
        prefixes.forEach(prefix -> prefix.watcher.stop());
    }

    /** Returns the newest known configuration. */
    public Optional<RoutingConfiguration> configuration() {
        return configuration;
    }

    /** Returns the store revision of the configuration. */
    public long configurationRevision() {
        return configurationRevision;
    }

    /** Returns the configured limits on callers, or the defaults while no configuration is known. */
    public CallerLimits limits() {
        return configuration.map(RoutingConfiguration::limits).orElse(CallerLimits.DEFAULT);
    }

    /** Returns true if the configuration and the backend servers are known, as needed to serve callers. */
    public boolean isComplete() {
        return configuration.isPresent() && backendsListed;
    }

    /** Returns true if the store is reachable for all watched prefixes. */
    public boolean isStoreReachable() {
        return prefixes.stream().allMatch(prefix -> prefix.watcher.isReachable());
    }

    /** Returns the local replica of each watched prefix. */
    public List<PrefixReplica> replicas() {
        return prefixes.stream().map(prefix -> prefix.replica).toList();
    }

    /**
     * Applies changes of a prefix that another host sent. Ignored unless they lead to a newer revision.
     *
     * @param changes in the order of their revisions
     * @param knownRevision revision that this host's replica has reached once the changes are applied
     * @param snapshot true if the changes are the full set of existing keys, so that all other keys are deleted
     */
    public void applyFromHost(
            String name, List<PrefixReplica.Change> changes, long knownRevision, boolean snapshot, String host) {
        prefixes.stream()
                .filter(prefix -> prefix.replica.prefix().equals(name))
                .filter(prefix -> knownRevision > prefix.replica.knownRevision())
                .forEach(prefix -> {
                    long applied = changes.stream().filter(this::apply).count();
                    if (snapshot) {
                        Set<String> listed = new HashSet<>();
                        changes.forEach(change -> listed.add(change.key()));
                        prefix.replica.liveKeysExcept(listed).forEach(key -> applyDeletion(key, knownRevision));
                    }
                    prefix.replica.advanceTo(knownRevision);
                    backendsListed |= prefix.equals(backends);
                    if (applied > 0) {
                        log.stateChange("learned_from_host", line -> line.with("prefix", name)
                                .with("from", host)
                                .with("changes", applied)
                                .with("revision", knownRevision)
                                .with("outcome", "accepted"));
                    }
                });
    }

    private void applyDeletion(String key, long revision) {
        apply(new PrefixReplica.Change(key, revision, Optional.empty()));
    }

    private boolean apply(PrefixReplica.Change change) {
        Optional<WatchedPrefix> prefix = prefixes.stream()
                .filter(candidate -> change.key().startsWith(candidate.replica.prefix()))
                .findFirst();
        boolean newer = prefix.map(found -> found.replica.apply(change)).orElse(false);
        if (newer) {
            change.value()
                    .ifPresentOrElse(
                            value -> onPut(new StoreValue(change.key(), value, change.revision())),
                            () -> onDelete(change.key(), change.revision()));
        } else {
            prefix.flatMap(found -> found.replica.find(change.key()))
                    .filter(known -> !known.value().equals(change.value()))
                    .ifPresent(known -> logOutdated(change, known));
        }
        return newer;
    }

    private void logOutdated(PrefixReplica.Change change, PrefixReplica.Change known) {
        log.stateChange("stored_value", line -> line.with("key", change.key())
                .with("revision", change.revision())
                .with("known_revision", known.revision())
                .with("outcome", "outdated"));
    }

    private void onPut(StoreValue value) {
        String key = value.key();
        try {
            if (key.equals(formats.configurationKey())) {
                onConfiguration(formats.readConfiguration(value.value()), value.revision());
            } else if (key.startsWith(formats.rolloutOrderPrefix())) {
                onRolloutOrder(key.substring(formats.rolloutOrderPrefix().length()), value);
            } else if (key.startsWith(formats.rolloutStatePrefix())) {
                onRolloutState(key.substring(formats.rolloutStatePrefix().length()), value);
            } else if (key.startsWith(formats.rolloutProgressPrefix())) {
                onRolloutProgress(key.substring(formats.rolloutProgressPrefix().length()), value);
            } else if (key.startsWith(formats.crashRecordPrefix())) {
                onCrashRecord(key.substring(formats.crashRecordPrefix().length()), value);
            } else if (key.startsWith(formats.backendPrefix())) {
                BackendRegistration entry = formats.readBackend(
                        key.substring(formats.backendPrefix().length()), value.value());
                versions.onVersionSeen(entry.service(), entry.version());
                registry.update(entry, value.revision());
            }
        } catch (UnreadableValueException exception) {
            unreadableValues.inc();
            log.stateChange("stored_value", line -> line.with("key", key)
                    .with("revision", value.revision())
                    .with("reason", exception.getMessage())
                    .with("outcome", "ignored"));
        }
    }

    private void onConfiguration(RoutingConfiguration newConfiguration, long revision) {
        if (configuration
                .map(known -> newConfiguration.version() <= known.version())
                .orElse(false)) {
            return;
        }
        configuration = Optional.of(newConfiguration);
        configurationRevision = revision;
        log.stateChange("configuration", line -> line.with("version", newConfiguration.version())
                .with("revision", revision)
                .with("routes", newConfiguration.routeCount())
                .with("outcome", "in_force"));
    }

    private void onRolloutOrder(String service, StoreValue value) throws UnreadableValueException {
        versions.onOrder(formats.readRolloutOrder(service, value.value()), value.revision());
        log.stateChange("rollout_order", line -> line.with("service", service)
                .with("revision", value.revision())
                .with("outcome", "known"));
    }

    private void onRolloutState(String service, StoreValue value) throws UnreadableValueException {
        versions.onState(formats.readRolloutState(service, value.value()), value.revision());
        log.stateChange("rollout_state", line -> line.with("service", service)
                .with("revision", value.revision())
                .with("outcome", "known"));
    }

    private void onRolloutProgress(String service, StoreValue value) throws UnreadableValueException {
        RolloutProgress progress = RolloutProgress.parse(value.value().toText())
                .orElseThrow(() -> new UnreadableValueException("rollout progress cannot be parsed"));
        versions.onProgress(service, progress, value.revision());
    }

    private void onCrashRecord(String name, StoreValue value) throws UnreadableValueException {
        registry.crashingPrompts()
                .onRecord(CrashRecord.parse(name, value.value().toText(), loop.nowMillis())
                        .orElseThrow(() -> new UnreadableValueException("crash record cannot be parsed")));
    }

    private void onDelete(String key, long revision) {
        if (key.startsWith(formats.rolloutOrderPrefix())) {
            versions.of(key.substring(formats.rolloutOrderPrefix().length())).onOrderRemoved(revision);
        } else if (key.startsWith(formats.crashRecordPrefix())) {
            registry.crashingPrompts()
                    .onRecordRemoved(key.substring(formats.crashRecordPrefix().length()));
        } else if (key.startsWith(formats.backendPrefix())) {
            onBackendRemoved(key.substring(formats.backendPrefix().length()), revision);
        }
    }

    private void onBackendRemoved(String id, long revision) {
        registry.find(id).filter(server -> revision > server.revision()).ifPresent(server -> {
            // During an outage of the store, and shortly after it, a deletion may stem from a lease that could not be
            // renewed; later deletions are genuine.
            long graceMillis = backends.watcher.isReachable()
                    ? backends.reachableSinceMillis + REREGISTRATION_GRACE_MILLIS - loop.nowMillis()
                    : REREGISTRATION_GRACE_MILLIS;
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

    /** A watched key prefix with its local replica. Confined to the loop's thread. */
    private final class WatchedPrefix implements PrefixWatcher.Listener {
        private final PrefixReplica replica;
        private final PrefixWatcher watcher;
        private long reachableSinceMillis = Long.MIN_VALUE / 2;

        WatchedPrefix(KeyValueStore store, String prefix) {
            this.replica = new PrefixReplica(prefix);
            this.watcher = new PrefixWatcher(store, loop, prefix, this, log);
        }

        @Override
        public void onPut(String key, Bytes value, long revision) {
            apply(new PrefixReplica.Change(key, revision, Optional.of(value)));
        }

        @Override
        public void onDelete(String key, long revision) {
            applyDeletion(key, revision);
        }

        @Override
        public void onListed(Set<String> keys, long revision) {
            replica.liveKeysExcept(keys).forEach(key -> applyDeletion(key, revision));
            backendsListed |= this == backends;
        }

        @Override
        public void onProgress(long revision) {
            replica.advanceTo(revision);
        }

        @Override
        public void onReachable() {
            reachableSinceMillis = loop.nowMillis();
        }
    }
}
