package io.heatherloft.router.fleet;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.rollout.RolloutProgress;
import io.heatherloft.domain.route.BackendRegistration;
import io.heatherloft.domain.route.CallerLimits;
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
 * What this host knows of the configuration, the backend servers and the roll-outs, from the store and from other hosts.
 *
 * <p>Invariants: the configuration's version never falls; each value carries the store's revision, and the higher one
 * wins, whoever told it. A value that cannot be read changes nothing. Confined to the loop's thread.
 */
public final class FleetView {
    // Time within which servers whose entries lapsed while the store was away write them again.
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

    /** Creates knowledge that is empty before {@link #start}. */
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
        WatchedPrefix progress = new WatchedPrefix(store, formats.rolloutProgressPrefix());
        this.prefixes = List.of(operators, backends, states, progress);
    }

    /** Starts to follow the store. */
    public void start() {
        prefixes.forEach(prefix -> prefix.watcher.start());
    }

    /** Stops to follow the store. */
    public void stop() {
        prefixes.forEach(prefix -> prefix.watcher.stop());
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

    /** Returns true if the store answered the last calls. */
    public boolean isStoreReachable() {
        return prefixes.stream().allMatch(prefix -> prefix.watcher.isReachable());
    }

    /** Returns what is known of each prefix, for other hosts. */
    public List<PrefixReplica> replicas() {
        return prefixes.stream().map(prefix -> prefix.replica).toList();
    }

    /**
     * Takes what another host knows of a prefix.
     *
     * @param changes in order of their revisions
     * @param knownRevision revision up to which the changes, with what this host had told, are complete
     * @param snapshot true if the changes are all keys that exist
     */
    public void applyFromHost(
            String name, List<PrefixReplica.Change> changes, long knownRevision, boolean snapshot, String host) {
        prefixes.stream()
                .filter(prefix -> prefix.replica.prefix().equals(name))
                .filter(prefix -> knownRevision > prefix.replica.knownRevision())
                .forEach(prefix -> {
                    long news = changes.stream().filter(this::apply).count();
                    if (snapshot) {
                        Set<String> listed = new HashSet<>();
                        changes.forEach(change -> listed.add(change.key()));
                        prefix.replica.liveKeysExcept(listed).forEach(key -> applyDeletion(key, knownRevision));
                    }
                    prefix.replica.advanceTo(knownRevision);
                    backendsListed |= prefix.equals(backends);
                    if (news > 0) {
                        log.stateChange("learned_from_host", line -> line.with("prefix", name)
                                .with("from", host)
                                .with("changes", news)
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
        boolean news = prefix.map(found -> found.replica.apply(change)).orElse(false);
        if (news) {
            change.value()
                    .ifPresentOrElse(
                            value -> onPut(new StoreValue(change.key(), value, change.revision())),
                            () -> onDelete(change.key(), change.revision()));
        }
        return news;
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

    private void onConfiguration(RoutingConfiguration read, long revision) {
        if (configuration.map(known -> read.version() <= known.version()).orElse(false)) {
            return;
        }
        configuration = Optional.of(read);
        configurationRevision = revision;
        log.stateChange("configuration", line -> line.with("version", read.version())
                .with("revision", revision)
                .with("routes", read.routeCount())
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
                .orElseThrow(() -> new UnreadableValueException("expected the progress of a roll-out"));
        versions.onProgress(service, progress, value.revision());
    }

    private void onDelete(String key, long revision) {
        if (key.startsWith(formats.rolloutOrderPrefix())) {
            versions.of(key.substring(formats.rolloutOrderPrefix().length())).onOrderRemoved(revision);
        } else if (key.startsWith(formats.backendPrefix())) {
            onBackendRemoved(key.substring(formats.backendPrefix().length()), revision);
        }
    }

    private void onBackendRemoved(String id, long revision) {
        registry.find(id).filter(server -> revision > server.revision()).ifPresent(server -> {
            // What is deleted later than this after the store's return did not lapse in its outage.
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

    /** One prefix with what is known of it. Confined to the loop's thread. */
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
