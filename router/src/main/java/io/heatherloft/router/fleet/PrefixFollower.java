package io.heatherloft.router.fleet;

import io.heatherloft.ports.loop.Futures;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.ports.store.KeyValueStore;
import io.heatherloft.ports.store.StoreValue;
import io.heatherloft.router.log.DecisionLog;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Keeps up with all keys of a prefix: lists them, watches from there, and starts again after each interruption.
 *
 * <p>Invariants: the listener is told of each change once it is seen, in order of revisions within a watch; after an
 * interruption it is told which keys are no longer there. Confined to the loop's thread.
 */
public final class PrefixFollower {
    private static final long FIRST_BACKOFF_MILLIS = 100L;
    private static final long LONGEST_BACKOFF_MILLIS = 1_000L;

    private final KeyValueStore store;
    private final Loop loop;
    private final String prefix;
    private final Listener listener;
    private final DecisionLog log;
    private final Set<String> present = new HashSet<>();
    private KeyValueStore.Watch watch = () -> {};
    private Loop.Cancellation retry = () -> {};
    private long revision = -1;
    private long backoffMillis = FIRST_BACKOFF_MILLIS;
    private boolean reachable;
    private boolean stopped;

    /** Creates a follower that does nothing before {@link #start}. */
    public PrefixFollower(KeyValueStore store, Loop loop, String prefix, Listener listener, DecisionLog log) {
        this.store = store;
        this.loop = loop;
        this.prefix = prefix;
        this.listener = listener;
        this.log = log;
    }

    /** Starts to follow. */
    public void start() {
        list();
    }

    /** Stops; the listener is not called again. */
    public void stop() {
        stopped = true;
        retry.cancel();
        watch.close();
    }

    /** Returns true if the store answered the last call. */
    public boolean isReachable() {
        return reachable;
    }

    private void list() {
        if (stopped) {
            return;
        }
        Futures.onComplete(store.list(prefix), (listing, failure) -> {
            if (stopped) {
                return;
            }
            if (failure != null) {
                onUnreachable(String.valueOf(failure.getMessage()));
                retryLater(this::list);
                return;
            }
            revision = listing.revision();
            onReachable();
            onListing(listing);
            openWatch();
        });
    }

    private void onListing(KeyValueStore.Listing listing) {
        Set<String> listed = listing.values().stream().map(StoreValue::key).collect(Collectors.toSet());
        Set<String> missing = new HashSet<>(present);
        missing.removeAll(listed);
        present.clear();
        present.addAll(listed);
        listing.values().forEach(listener::onPut);
        missing.forEach(key -> listener.onMissing(key, listing.revision()));
        listener.onListed();
    }

    private void openWatch() {
        if (!stopped) {
            watch = store.watch(prefix, revision + 1, new Changes());
        }
    }

    private void retryLater(Runnable task) {
        retry = loop.schedule(backoffMillis, task);
        backoffMillis = Math.min(LONGEST_BACKOFF_MILLIS, backoffMillis * 2);
    }

    private void onReachable() {
        backoffMillis = FIRST_BACKOFF_MILLIS;
        if (!reachable) {
            reachable = true;
            log.lifecycle("dependency_regained", line -> line.with("dependency", "store")
                    .with("prefix", prefix)
                    .with("revision", revision));
            listener.onReachable();
        }
    }

    private void onUnreachable(String reason) {
        if (reachable) {
            reachable = false;
            log.lifecycle("dependency_lost", line -> line.with("dependency", "store")
                    .with("prefix", prefix)
                    .with("revision", revision)
                    .with("reason", reason));
            listener.onUnreachable();
        }
    }

    private final class Changes implements KeyValueStore.WatchListener {
        @Override
        public void onPut(StoreValue value) {
            revision = Math.max(revision, value.revision());
            present.add(value.key());
            listener.onPut(value);
        }

        @Override
        public void onDelete(String key, long deletedAt) {
            revision = Math.max(revision, deletedAt);
            present.remove(key);
            listener.onDelete(key, deletedAt);
        }

        @Override
        public void onProgress(long seen) {
            revision = Math.max(revision, seen);
            onReachable();
        }

        @Override
        public void onEnd(String reason) {
            onUnreachable(reason);
            retryLater(PrefixFollower.this::openWatch);
        }

        @Override
        public void onHistoryLost() {
            list();
        }
    }

    /** Is told of the keys of the prefix. */
    public interface Listener {
        /** A key was written, or was found when the prefix was listed. */
        void onPut(StoreValue value);

        /** A key was deleted, or its lease lapsed. */
        void onDelete(String key, long revision);

        /** A key was not found when the prefix was listed after an interruption. */
        default void onMissing(String key, long revision) {
            onDelete(key, revision);
        }

        /** All keys have been reported once. */
        default void onListed() {}

        /** The store answers again. */
        default void onReachable() {}

        /** The store does not answer. */
        default void onUnreachable() {}
    }
}
