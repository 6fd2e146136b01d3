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
public final class FleetKnowledge {
    // Time within which servers whose entries lapsed while the store was away write them again.
    private static final long REJOIN_MILLIS = 2_000L;

    private final Loop loop;
    private final StoredFormats formats;
    private final BackendRegistry registry;
    private final VersionPolicies versions;
    private final DecisionLog log;
    private final Counter unreadable;
    private final List<FollowedPrefix> prefixes;
    private final FollowedPrefix backends;
    private Optional<RoutingConfiguration> configuration = Optional.empty();
    private long configurationRevision;
    private boolean backendsListed;

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
        FollowedPrefix operators = new FollowedPrefix(store, formats.operatorPrefix());
        this.backends = new FollowedPrefix(store, formats.backendPrefix());
        FollowedPrefix states = new FollowedPrefix(store, formats.rolloutStatePrefix());
        FollowedPrefix progress = new FollowedPrefix(store, formats.rolloutProgressPrefix());
        this.prefixes = List.of(operators, backends, states, progress);
    }

    /** Starts to follow the store. */
    public void start() {
        prefixes.forEach(prefix -> prefix.follower.start());
    }

    /** Stops to follow the store. */
    public void stop() {
        prefixes.forEach(prefix -> prefix.follower.stop());
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
        return prefixes.stream().allMatch(prefix -> prefix.follower.isReachable());
    }

    /** Returns what is known of each prefix, for other hosts. */
    public List<SharedValues> shared() {
        return prefixes.stream().map(prefix -> prefix.values).toList();
    }

    /**
     * Takes what another host knows of a prefix.
     *
     * @param changes in order of their revisions
     * @param knownRevision revision up to which the changes, with what this host had told, are complete
     * @param snapshot true if the changes are all keys that exist
     */
    public void acceptFromHost(
            String name, List<SharedValues.Change> changes, long knownRevision, boolean snapshot, String host) {
        prefixes.stream()
                .filter(prefix -> prefix.values.prefix().equals(name))
                .filter(prefix -> knownRevision > prefix.values.knownRevision())
                .forEach(prefix -> {
                    long news = changes.stream().filter(this::accept).count();
                    if (snapshot) {
                        Set<String> listed = new HashSet<>();
                        changes.forEach(change -> listed.add(change.key()));
                        prefix.values.presentBut(listed).forEach(key -> deleted(key, knownRevision));
                    }
                    prefix.values.advanceTo(knownRevision);
                    backendsListed |= prefix.equals(backends);
                    if (news > 0) {
                        log.belief("learned_from_host", line -> line.with("prefix", name)
                                .with("from", host)
                                .with("changes", news)
                                .with("revision", knownRevision)
                                .with("outcome", "accepted"));
                    }
                });
    }

    private void deleted(String key, long revision) {
        accept(new SharedValues.Change(key, revision, Optional.empty()));
    }

    private boolean accept(SharedValues.Change change) {
        Optional<FollowedPrefix> prefix = prefixes.stream()
                .filter(candidate -> change.key().startsWith(candidate.values.prefix()))
                .findFirst();
        boolean news = prefix.map(found -> found.values.accept(change)).orElse(false);
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
            unreadable.inc();
            log.belief("stored_value", line -> line.with("key", key)
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
        log.belief("configuration", line -> line.with("version", read.version())
                .with("revision", revision)
                .with("routes", read.routeCount())
                .with("outcome", "in_force"));
    }

    private void onRolloutOrder(String service, StoreValue value) throws UnreadableValueException {
        versions.onOrder(formats.readRolloutOrder(service, value.value()), value.revision());
        log.belief("rollout_order", line -> line.with("service", service)
                .with("revision", value.revision())
                .with("outcome", "known"));
    }

    private void onRolloutState(String service, StoreValue value) throws UnreadableValueException {
        versions.onState(formats.readRolloutState(service, value.value()), value.revision());
        log.belief("rollout_state", line -> line.with("service", service)
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
            long graceMillis = backends.follower.isReachable()
                    ? backends.regainedAtMillis + REJOIN_MILLIS - loop.nowMillis()
                    : REJOIN_MILLIS;
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
    private final class FollowedPrefix implements PrefixFollower.Listener {
        private final SharedValues values;
        private final PrefixFollower follower;
        private long regainedAtMillis = Long.MIN_VALUE / 2;

        FollowedPrefix(KeyValueStore store, String prefix) {
            this.values = new SharedValues(prefix);
            this.follower = new PrefixFollower(store, loop, prefix, this, log);
        }

        @Override
        public void onPut(String key, Bytes value, long revision) {
            accept(new SharedValues.Change(key, revision, Optional.of(value)));
        }

        @Override
        public void onDelete(String key, long revision) {
            deleted(key, revision);
        }

        @Override
        public void onListed(Set<String> keys, long revision) {
            values.presentBut(keys).forEach(key -> deleted(key, revision));
            backendsListed |= this == backends;
        }

        @Override
        public void onProgress(long revision) {
            values.advanceTo(revision);
        }

        @Override
        public void onReachable() {
            regainedAtMillis = loop.nowMillis();
        }
    }
}
