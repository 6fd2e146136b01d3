package io.heatherloft.router.fleet;

import io.heatherloft.domain.Bytes;
import io.heatherloft.ports.loop.Futures;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.ports.store.KeyValueStore;
import io.heatherloft.ports.store.StoreValue;
import io.heatherloft.router.log.DecisionLog;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Keeps up with all keys of a prefix: lists them, watches from there, and starts again after each interruption.
 *
 * <p>Invariant: the listener is told of each change once it is seen, in order of revisions within a watch. Confined to
 * the loop's thread.
 */
public final class PrefixWatcher {
    private static final long INITIAL_BACKOFF_MILLIS = 100L;
    private static final long MAX_BACKOFF_MILLIS = 1_000L;

    private final KeyValueStore store;
    private final Loop loop;
    private final String prefix;
    private final Listener listener;
    private final DecisionLog log;
    private KeyValueStore.Watch watch = () -> {};
    private Loop.Cancellation retry = () -> {};
    private long revision = -1;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;
    private boolean reachable;
    private boolean stopped;

    /** Creates a follower that does nothing before {@link #start}. */
    public PrefixWatcher(KeyValueStore store, Loop loop, String prefix, Listener listener, DecisionLog log) {
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
            listing.values().forEach(value -> listener.onPut(value.key(), value.value(), value.revision()));
            listener.onListed(listing.values().stream().map(StoreValue::key).collect(Collectors.toSet()), revision);
            listener.onProgress(revision);
            openWatch();
        });
    }

    private void openWatch() {
        if (!stopped) {
            watch = store.watch(prefix, revision + 1, new WatchEvents());
        }
    }

    private void retryLater(Runnable task) {
        retry = loop.schedule(backoffMillis, task);
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
    }

    private void onReachable() {
        backoffMillis = INITIAL_BACKOFF_MILLIS;
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
        }
    }

    private final class WatchEvents implements KeyValueStore.WatchListener {
        @Override
        public void onPut(StoreValue value) {
            // Reported first, so that a deletion that lapsed in an outage is recognized as such.
            onReachable();
            revision = Math.max(revision, value.revision());
            listener.onPut(value.key(), value.value(), value.revision());
        }

        @Override
        public void onDelete(String key, long deletedAt) {
            onReachable();
            revision = Math.max(revision, deletedAt);
            listener.onDelete(key, deletedAt);
        }

        @Override
        public void onProgress(long seen) {
            onReachable();
            revision = Math.max(revision, seen);
            listener.onProgress(revision);
        }

        @Override
        public void onEnd(String reason) {
            onUnreachable(reason);
            retryLater(PrefixWatcher.this::openWatch);
        }

        @Override
        public void onHistoryLost() {
            list();
        }
    }

    /** Is told of the keys of the prefix. */
    public interface Listener {
        /** A key was written, or was found when the prefix was listed. */
        void onPut(String key, Bytes value, long revision);

        /** A key was deleted, or its lease lapsed. */
        void onDelete(String key, long revision);

        /** The prefix was listed; keys that are not among these do not exist. */
        void onListed(Set<String> keys, long revision);

        /** All changes up to a revision have been reported. */
        void onProgress(long revision);

        /** The store answers again. */
        void onReachable();
    }
}
