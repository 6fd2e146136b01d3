package io.heatherloft.daemon.fleet;

import io.heatherloft.daemon.Counters;
import io.heatherloft.domain.StoreRevision;
import io.heatherloft.peer.generated.ConfigurationParts;
import io.heatherloft.peer.generated.FetchConfiguration;
import io.heatherloft.peer.generated.PeerReply;
import io.heatherloft.peer.generated.PeerRequest;
import io.heatherloft.ports.configuration.ConfigurationDocument;
import io.heatherloft.ports.configuration.ConfigurationHead;
import io.heatherloft.ports.configuration.ConfigurationRepository;
import io.heatherloft.ports.loop.Futures;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.ports.store.KeyValueStore;
import io.heatherloft.ports.store.StoreValue;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

/**
 * Brings accepted configuration generations to this host. A few hosts of the fleet watch the store; all hosts poll the
 * store at a longer interval and fetch newer generations from peers.
 *
 * <p>Invariants: the number of watches does not grow with the fleet; a generation fetched from a peer is verified
 * against its digests. Confined to the event loop thread.
 */
public final class ConfigurationSynchronizer {
    private static final int WATCHER_COUNT = 3;
    private static final long WATCHER_CHECK_INTERVAL_MILLIS = 2_000L;
    private static final long POLL_INTERVAL_MILLIS = 30_000L;
    private static final long INITIAL_BACKOFF_MILLIS = 250L;
    private static final long MAX_BACKOFF_MILLIS = 8_000L;

    private final Loop loop;
    private final Random random;
    private final KeyValueStore store;
    private final ConfigurationRepository repository;
    private final FleetState fleet;
    private final Gossiper gossiper;
    private final Counters counters;
    private KeyValueStore.Watch watch;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;
    private boolean pullInProgress;
    private boolean stopped;

    /** Creates a synchronizer that is not started. */
    public ConfigurationSynchronizer(
            Loop loop, Random random, KeyValueStore store, FleetState fleet, Gossiper gossiper, Counters counters) {
        this.loop = loop;
        this.random = random;
        this.store = store;
        this.repository = new ConfigurationRepository(store, loop);
        this.fleet = fleet;
        this.gossiper = gossiper;
        this.counters = counters;
        gossiper.onNewerGeneration(this::pullFromPeer);
    }

    /** Starts polling and, if this host is one of the watchers, watching the store. */
    public void start() {
        readHead();
        loop.repeat(WATCHER_CHECK_INTERVAL_MILLIS, this::updateWatch);
        schedulePoll();
    }

    /** Stops polling and closes the watch. */
    public void stop() {
        stopped = true;
        closeWatch();
    }

    /** Handles a request for a newer generation; the reply omits the parts that the peer already has. */
    public PeerReply handle(FetchConfiguration query) {
        ConfigurationDocument document = fleet.configuration().document();
        ConfigurationParts.Builder parts = ConfigurationParts.newBuilder();
        if (document.head().generation() > query.getAboveGeneration()) {
            parts.setHead(document.head().toJson());
            document.parts().entrySet().stream()
                    .filter(part -> !query.getKnownDigestsList().contains(part.getKey()))
                    .forEach(part -> parts.putParts(part.getKey(), part.getValue()));
        }
        return PeerReply.newBuilder().setConfiguration(parts).build();
    }

    private void updateWatch() {
        String self = fleet.members().self().id();
        boolean watching = fleet.members().rendezvous("configuration-watch", WATCHER_COUNT).stream()
                .anyMatch(member -> member.id().equals(self));
        if (watching && watch == null && !stopped) {
            readHead();
        } else if (!watching) {
            closeWatch();
        }
    }

    private void readHead() {
        Futures.onComplete(repository.readHead(), (found, failure) -> {
            if (failure != null) {
                counters.count("configuration.read-failures");
                return;
            }
            backoffMillis = INITIAL_BACKOFF_MILLIS;
            openWatch(found.revision());
            fetchIfNewer(found.head());
        });
    }

    private void openWatch(StoreRevision revision) {
        String self = fleet.members().self().id();
        boolean watching = fleet.members().rendezvous("configuration-watch", WATCHER_COUNT).stream()
                .anyMatch(member -> member.id().equals(self));
        if (watch != null || stopped || !watching) {
            return;
        }
        watch = store.watch(ConfigurationRepository.HEAD_KEY, revision, new KeyValueStore.WatchListener() {
            @Override
            public void onPut(StoreValue value) {
                ConfigurationRepository.VersionedHead.of(value).ifPresent(found -> fetchIfNewer(found.head()));
            }

            @Override
            public void onEnd(String _reason) {
                watch = null;
                counters.count("configuration.watch-ends");
                scheduleWatchUpdate();
            }
        });
    }

    // updateWatch reads the head before it reopens the watch, so that no generation written in between is missed.
    private void scheduleWatchUpdate() {
        long delay = backoffMillis / 2 + random.nextInt((int) backoffMillis);
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
        loop.schedule(delay, this::updateWatch);
    }

    private void fetchIfNewer(ConfigurationHead head) {
        if (head.generation() <= fleet.configuration().generation()) {
            return;
        }
        Map<String, String> known = fleet.configuration().document().parts();
        Futures.onComplete(repository.readDocument(head, known), (document, failure) -> {
            if (failure != null) {
                counters.count("configuration.read-failures");
                loop.schedule(backoffMillis, this::readHead);
            } else {
                fleet.configuration().applyIfNewer(document);
            }
        });
    }

    private void pullFromPeer(String address) {
        if (pullInProgress) {
            return;
        }
        pullInProgress = true;
        ConfigurationDocument present = fleet.configuration().document();
        PeerRequest.Builder request = PeerRequest.newBuilder()
                .setFetchConfiguration(FetchConfiguration.newBuilder()
                        .setAboveGeneration(present.head().generation())
                        .addAllKnownDigests(present.parts().keySet()));
        CompletableFuture<PeerReply> reply = gossiper.call(address, request);
        Futures.onComplete(reply, (answer, failure) -> {
            pullInProgress = false;
            if (failure == null && !answer.getConfiguration().getHead().isEmpty()) {
                counters.count("configuration.pulled-from-peer");
                applyFromPeer(answer.getConfiguration());
            }
        });
    }

    private void applyFromPeer(ConfigurationParts received) {
        ConfigurationHead head = ConfigurationHead.parse(received.getHead());
        Map<String, String> parts = new HashMap<>(received.getPartsMap());
        Map<String, String> known = fleet.configuration().document().parts();
        head.files().forEach(file -> {
            if (known.containsKey(file.digest())) {
                parts.putIfAbsent(file.digest(), known.get(file.digest()));
            }
        });
        ConfigurationDocument.verified(head, parts).ifPresent(fleet.configuration()::applyIfNewer);
    }

    private void schedulePoll() {
        long delay = POLL_INTERVAL_MILLIS / 2 + random.nextInt((int) POLL_INTERVAL_MILLIS);
        loop.schedule(delay, () -> {
            if (!stopped) {
                readHead();
                schedulePoll();
            }
        });
    }

    private void closeWatch() {
        if (watch != null) {
            watch.close();
            watch = null;
        }
    }
}
