package io.heatherloft.router.fleet;

import com.codahale.metrics.MetricRegistry;
import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.StoreRevision;
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
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * This host's view of the configuration, the backend servers and the rollouts.
 *
 * <p>Values come from the store and, through gossip, from other hosts. Of two values of a key from one era of the store the
 * one with the higher revision wins, whatever its source; {@link RestorePolicy} decides between eras. The version of the
 * configuration never decreases. Values that cannot be parsed are ignored; a backend server with such an entry is not used.
 * Confined to the loop's thread.
 */
public final class FleetView {
    // A timer may fire before the loop's clock shows that its time has passed.
    private static final long TIMER_MARGIN_MILLIS = 10L;

    private final Loop loop;
    private final Random random;
    private final StoredFormats formats;
    private final RestorePolicy restorePolicy;
    private final BackendRegistry registry;
    private final VersionPolicies versions;
    private final DecisionLog log;
    private final UnreadableValues unreadableValues;
    private final List<WatchedPrefix> prefixes;
    private final WatchedPrefix backends;
    private Optional<RoutingConfiguration> configuration = Optional.empty();
    private StoreRevision configurationRevision = StoreRevision.NONE;
    private boolean backendsListed;
    private boolean started;

    /**
     * Creates a view that is empty until {@link #start}.
     *
     * @param random spreads the calls that hosts make when the store returns after an outage
     */
    public FleetView(
            Loop loop,
            KeyValueStore store,
            StoredFormats formats,
            BackendRegistry registry,
            VersionPolicies versions,
            DecisionLog log,
            MetricRegistry metrics,
            Random random) {
        this.loop = loop;
        this.random = random;
        this.formats = formats;
        this.restorePolicy = new RestorePolicy(formats);
        this.registry = registry;
        this.versions = versions;
        this.log = log;
        this.unreadableValues = new UnreadableValues(log, metrics.counter("store_values_unreadable_total"));
        WatchedPrefix operators = new WatchedPrefix(store, formats.operatorPrefix());
        this.backends = new WatchedPrefix(store, formats.backendPrefix());
        WatchedPrefix states = new WatchedPrefix(store, formats.rolloutStatePrefix());
        WatchedPrefix ofHosts = new WatchedPrefix(store, formats.hostPrefix());
        this.prefixes = List.of(operators, backends, states, ofHosts);
    }

    /** Starts watching the store. */
    public void start() {
        started = true;
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
    public StoreRevision configurationRevision() {
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

    /** Returns true if this host watches the store and cannot reach it, so that it learns of changes from other hosts only. */
    public boolean isWithoutStore() {
        return started && !isStoreReachable();
    }

    /** Returns the newest era of the store that this host knows. */
    public long storeEra() {
        return replicas().stream().mapToLong(PrefixReplica::era).max().orElse(0);
    }

    /** Returns the changes of earlier eras that still hold and that another host may not know. */
    public List<PrefixReplica.Change> sharedEarlierChanges(PrefixReplica replica) {
        return replica.earlierChanges().stream().filter(restorePolicy::isShared).toList();
    }

    /** Returns true if this host has learned not long ago that the store was restored. */
    public boolean isEraNew() {
        return prefixes.stream().anyMatch(WatchedPrefix::isEraNew);
    }

    /** Returns the local replica of each watched prefix. */
    public List<PrefixReplica> replicas() {
        return prefixes.stream().map(prefix -> prefix.replica).toList();
    }

    /**
     * Changes of a prefix, as one host tells another.
     *
     * @param changes changes in the era of {@code knownRevision}, in the order of their revisions
     * @param earlierChanges changes of earlier eras that still hold
     * @param knownRevision revision that a replica has reached once the changes are applied
     * @param snapshot true if the changes are the full set of existing keys, so that all other keys are deleted
     */
    public record PrefixUpdate(
            String prefix,
            List<PrefixReplica.Change> changes,
            List<PrefixReplica.Change> earlierChanges,
            StoreRevision knownRevision,
            boolean snapshot) {}

    /** Applies changes that another host sent. Ignored unless they lead to a newer revision, or stem from earlier eras. */
    public void applyFromHost(PrefixUpdate update, String host) {
        prefixes.stream()
                .filter(prefix -> prefix.replica.prefix().equals(update.prefix()))
                .forEach(prefix -> {
                    if (update.knownRevision().isAfter(prefix.replica.knownRevision())) {
                        applyNewer(prefix, update, host);
                    }
                    update.earlierChanges().forEach(change -> applyEarlier(prefix, change));
                });
    }

    private void applyNewer(WatchedPrefix prefix, PrefixUpdate update, String host) {
        StoreRevision knownRevision = update.knownRevision();
        if (prefix.beginEraIfLater(knownRevision.era())) {
            prefix.watcher.listAgain();
        }
        long applied = update.changes().stream()
                .filter(change -> apply(prefix, change))
                .count();
        if (update.snapshot()) {
            Set<String> existing = update.changes().stream()
                    .filter(change -> !change.deleted())
                    .map(PrefixReplica.Change::key)
                    .collect(Collectors.toSet());
            prefix.replica.liveKeysExcept(existing).forEach(key -> applyDeletion(prefix, key, knownRevision));
        }
        prefix.replica.advanceTo(knownRevision);
        prefix.settleEarlierChanges();
        backendsListed |= prefix.equals(backends);
        if (applied > 0) {
            log.stateChange("learned_from_host", line -> line.with("prefix", prefix.replica.prefix())
                    .with("from", host)
                    .with("changes", applied)
                    .with("revision", knownRevision.number())
                    .with("era", knownRevision.era())
                    .with("outcome", "accepted"));
        }
    }

    // Another host may know of a change that this one missed because it started later or was cut off.
    private void applyEarlier(WatchedPrefix prefix, PrefixReplica.Change change) {
        Optional<PrefixReplica.Change> current = prefix.replica.find(change.key());
        if (restorePolicy.stillHolds(change, current, prefix.eraAgeMillis()) && prefix.replica.addEarlier(change)) {
            if (change.deleted() && change.key().startsWith(formats.backendPrefix())) {
                registry.remove(backendId(change.key()), change.revision());
            } else {
                deliver(change);
            }
            prefix.scheduleSettling();
        }
    }

    private void applyDeletion(WatchedPrefix prefix, String key, StoreRevision revision) {
        Optional<Bytes> valueBefore = prefix.replica.find(key).flatMap(PrefixReplica.Change::value);
        apply(prefix, PrefixReplica.Change.deletion(key, revision, valueBefore));
    }

    private boolean apply(WatchedPrefix prefix, PrefixReplica.Change change) {
        boolean newer = prefix.replica.apply(change);
        if (newer) {
            settle(prefix, change.key());
        } else {
            prefix.replica
                    .find(change.key())
                    .filter(known -> !known.hasSameResult(change))
                    .ifPresent(known -> logOutdated(change, known));
        }
        return newer;
    }

    // Delivers the current change of a key unless an earlier one still holds, which has been delivered before.
    private void settle(WatchedPrefix prefix, String key) {
        PrefixReplica replica = prefix.replica;
        if (prefix.isDoubtful(key)) {
            prefix.doubtfulKeys.add(key);
            return;
        }
        Optional<PrefixReplica.Change> earlier = replica.findEarlier(key);
        Optional<PrefixReplica.Change> current = replica.find(key);
        if (earlier.filter(change -> restorePolicy.stillHolds(change, current, prefix.eraAgeMillis()))
                .isPresent()) {
            return;
        }
        replica.dropEarlier(key);
        current.or(() -> earlier.map(
                        change -> PrefixReplica.Change.deletion(key, replica.knownRevision(), change.value())))
                .ifPresent(this::deliver);
    }

    private void deliver(PrefixReplica.Change change) {
        if (change.deleted()) {
            onDelete(change.key(), change.revision());
        } else {
            change.value().ifPresent(value -> onPut(new StoreValue(change.key(), value, change.revision())));
        }
    }

    private void logOutdated(PrefixReplica.Change change, PrefixReplica.Change known) {
        log.stateChange("stored_value", line -> line.with("key", change.key())
                .with("revision", change.revision().number())
                .with("era", change.revision().era())
                .with("known_revision", known.revision().number())
                .with("outcome", "outdated"));
    }

    // One value must not keep the others from being followed, so a reader's unforeseen failure concerns its value only.
    private void onPut(StoreValue value) {
        try {
            read(value);
            unreadableValues.onRead(value.key());
        } catch (UnreadableValueException | RuntimeException | StackOverflowError exception) {
            unreadableValues.onUnreadable(
                    value, exception, evacuatedZone(value.key()).isPresent() ? "order_in_force" : "ignored");
            if (value.key().startsWith(formats.backendPrefix())) {
                registry.withdraw(backendId(value.key()), value.revision());
            }
        }
    }

    private String backendId(String key) {
        return key.substring(formats.backendPrefix().length());
    }

    private void read(StoreValue value) throws UnreadableValueException {
        String key = value.key();
        if (key.equals(formats.configurationKey())) {
            onConfiguration(formats.readConfiguration(value.value()), value.revision());
        } else if (key.startsWith(formats.rolloutOrderPrefix())) {
            onRolloutOrder(key.substring(formats.rolloutOrderPrefix().length()), value);
        } else if (key.startsWith(formats.evacuationPrefix())) {
            onEvacuation(value);
        } else if (key.startsWith(formats.rolloutStatePrefix())) {
            onRolloutState(key.substring(formats.rolloutStatePrefix().length()), value);
        } else if (key.startsWith(formats.rolloutProgressPrefix())) {
            onRolloutProgress(key.substring(formats.rolloutProgressPrefix().length()), value);
        } else if (key.startsWith(formats.crashRecordPrefix())) {
            onCrashRecord(key.substring(formats.crashRecordPrefix().length()), value);
        } else if (key.startsWith(formats.backendPrefix())) {
            BackendRegistration entry = formats.readBackend(backendId(key), value.value());
            versions.onVersionSeen(entry.service(), entry.version());
            registry.update(entry, value.revision());
        }
    }

    private void onConfiguration(RoutingConfiguration newConfiguration, StoreRevision revision) {
        boolean outdated = configuration
                .map(known -> newConfiguration.version() < known.version()
                        || (newConfiguration.version() == known.version() && !revision.isAfter(configurationRevision)))
                .orElse(false);
        if (outdated) {
            return;
        }
        configuration = Optional.of(newConfiguration);
        configurationRevision = revision;
        log.stateChange("configuration", line -> line.with("version", newConfiguration.version())
                .with("revision", revision.number())
                .with("era", revision.era())
                .with("routes", newConfiguration.routeCount())
                .with("outcome", "in_force"));
    }

    private void onRolloutOrder(String service, StoreValue value) throws UnreadableValueException {
        versions.onOrder(formats.readRolloutOrder(service, value.value()), value.revision());
        log.stateChange("rollout_order", line -> line.with("service", service)
                .with("revision", value.revision().number())
                .with("era", value.revision().era())
                .with("outcome", "known"));
    }

    // The zone is in the key, so the order holds whatever the value is.
    private void onEvacuation(StoreValue value) throws UnreadableValueException {
        String zone = evacuatedZone(value.key())
                .orElseThrow(() -> new UnreadableValueException("key: expected the name of a zone at the end"));
        long servers = registry.evacuate(zone, value.revision());
        formats.checkEvacuation(value.value());
        if (servers == 0 && backendsListed) {
            throw new UnreadableValueException("key: expected a zone with servers");
        }
    }

    private Optional<String> evacuatedZone(String key) {
        String prefix = formats.evacuationPrefix();
        return key.startsWith(prefix) && key.length() > prefix.length()
                ? Optional.of(key.substring(prefix.length()))
                : Optional.empty();
    }

    private void onRolloutState(String service, StoreValue value) throws UnreadableValueException {
        versions.onState(formats.readRolloutState(service, value.value()), value.revision());
        log.stateChange("rollout_state", line -> line.with("service", service)
                .with("revision", value.revision().number())
                .with("era", value.revision().era())
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

    private void onDelete(String key, StoreRevision revision) {
        unreadableValues.onRead(key);
        evacuatedZone(key).ifPresent(zone -> registry.endEvacuation(zone, revision));
        if (key.startsWith(formats.rolloutOrderPrefix())) {
            versions.of(key.substring(formats.rolloutOrderPrefix().length())).onOrderRemoved();
        } else if (key.startsWith(formats.rolloutStatePrefix())) {
            versions.of(key.substring(formats.rolloutStatePrefix().length())).onStateRemoved();
        } else if (key.startsWith(formats.rolloutProgressPrefix())) {
            versions.of(key.substring(formats.rolloutProgressPrefix().length())).onProgressRemoved();
        } else if (key.startsWith(formats.crashRecordPrefix())) {
            registry.crashingPrompts()
                    .onRecordRemoved(key.substring(formats.crashRecordPrefix().length()));
        } else if (key.startsWith(formats.backendPrefix())) {
            onBackendRemoved(backendId(key), revision);
        }
    }

    private void onBackendRemoved(String id, StoreRevision revision) {
        registry.find(id).filter(server -> revision.isAfter(server.revision())).ifPresent(server -> {
            // During an outage of the store, and shortly after it, a deletion may stem from a lease that could not be
            // renewed; later deletions are genuine.
            long graceMillis = backends.watcher.isReachable()
                    ? backends.reachableSinceMillis + RestorePolicy.REREGISTRATION_MILLIS - loop.nowMillis()
                    : RestorePolicy.REREGISTRATION_MILLIS;
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
        private final Set<String> doubtfulKeys = new HashSet<>();
        private long eraBeganMillis = Long.MIN_VALUE / 2;
        private long lastNumberBeforeEra;
        private boolean restored;
        private boolean settlingScheduled;

        WatchedPrefix(KeyValueStore store, String prefix) {
            this.replica = new PrefixReplica(prefix);
            this.watcher = new PrefixWatcher(store, loop, prefix, this, log, random);
        }

        long eraAgeMillis() {
            return loop.nowMillis() - eraBeganMillis;
        }

        /** Begins an era that the store was seen in; returns false if it is not later than the known one. */
        boolean beginEraIfLater(long era) {
            if (era <= replica.era()) {
                return false;
            }
            restored = replica.knownRevision().number() > 0;
            if (restored) {
                logEra("began", era);
            }
            lastNumberBeforeEra = replica.knownRevision().number();
            doubtfulKeys.clear();
            replica.beginEra(era);
            eraBeganMillis = loop.nowMillis();
            settlingScheduled = false;
            if (restored) {
                scheduleSettling();
            }
            return restored;
        }

        /** Schedules when earlier changes cease to hold, also on a host that started after the restore. */
        void scheduleSettling() {
            if (!settlingScheduled) {
                settlingScheduled = true;
                RestorePolicy.SETTLING_MILLIS.forEach(
                        millis -> loop.schedule(millis + TIMER_MARGIN_MILLIS, this::settleEarlierChanges));
            }
        }

        /** Returns true if the store was restored not long ago, so that other hosts may not know of it. */
        boolean isEraNew() {
            return restored && eraAgeMillis() < RestorePolicy.REREGISTRATION_MILLIS;
        }

        // A backend server that this host has not known may have left before this host started, so that the copy still
        // has
        // it. Other hosts tell of that soon.
        boolean isDoubtful(String key) {
            return this == backends
                    && restored
                    && eraAgeMillis() < RestorePolicy.EXCHANGE_MILLIS
                    && registry.find(key.substring(replica.prefix().length())).isEmpty()
                    && replica.findEarlier(key).isEmpty()
                    && replica.find(key)
                            .filter(current ->
                                    !current.deleted() && current.revision().number() <= lastNumberBeforeEra)
                            .isPresent();
        }

        /** Settles which earlier changes still hold; called when all keys of the current era are known. */
        void settleEarlierChanges() {
            replica.earlierChanges().forEach(earlier -> settle(this, earlier.key()));
            List<String> undelivered = List.copyOf(doubtfulKeys);
            doubtfulKeys.clear();
            undelivered.forEach(key -> settle(this, key));
        }

        private void logEra(String outcome, long era) {
            log.stateChange("store_era", line -> line.with("prefix", replica.prefix())
                    .with("era", era)
                    .with("known_era", replica.era())
                    .with("known_revision", replica.knownRevision().number())
                    .with("known_keys", replica.liveEntries().size())
                    .with("earlier_keys", replica.earlierChanges().size())
                    .with(
                            "configuration_version",
                            configuration.map(RoutingConfiguration::version).orElse(-1L))
                    .with("outcome", outcome));
        }

        @Override
        public void onPut(String key, Bytes value, StoreRevision revision) {
            beginEraIfLater(revision.era());
            apply(this, PrefixReplica.Change.put(key, revision, value));
        }

        @Override
        public void onDelete(String key, StoreRevision revision) {
            applyDeletion(this, key, revision);
        }

        @Override
        public void onListed(Set<String> keys, StoreRevision revision) {
            beginEraIfLater(revision.era());
            if (revision.era() == replica.era()) {
                replica.liveKeysExcept(keys).forEach(key -> applyDeletion(this, key, revision));
                boolean settling = !replica.earlierChanges().isEmpty();
                settleEarlierChanges();
                if (settling) {
                    logEra("listed", replica.era());
                }
                backendsListed |= this == backends;
            }
        }

        @Override
        public void onProgress(StoreRevision revision) {
            replica.advanceTo(revision);
        }

        @Override
        public void onReachable() {
            reachableSinceMillis = loop.nowMillis();
        }
    }
}
