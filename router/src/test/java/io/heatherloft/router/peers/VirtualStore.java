package io.heatherloft.router.peers;

import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.StoreRevision;
import io.heatherloft.ports.store.KeyValueStore;
import io.heatherloft.ports.store.StoreUnavailableException;
import io.heatherloft.ports.store.StoreValue;
import io.heatherloft.ports.store.WriteOutcome;
import io.heatherloft.router.VirtualLoop;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * The platform's store in virtual time, which can be down and can be restored from an older copy.
 *
 * <p>Rejects calls beyond the platform's rates. Confined to the test's thread.
 */
final class VirtualStore {
    private static final int READS_PER_SECOND = 2_000;
    private static final int WRITES_PER_SECOND = 400;
    private static final int MAX_DELAY_MILLIS = 3;

    private final VirtualLoop loop;
    private final Random random;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final List<Client.OpenWatch> watches = new ArrayList<>();
    private final Set<Long> leases = new HashSet<>();
    private final RateLimit readLimit = new RateLimit(READS_PER_SECOND);
    private final RateLimit writeLimit = new RateLimit(WRITES_PER_SECOND);
    private long number = 1;
    private long era = 1;
    private long lastLease;
    private boolean down;
    int readCount;
    int writeCount;
    int rejectedCount;

    VirtualStore(VirtualLoop loop, Random random) {
        this.loop = loop;
        this.random = random;
    }

    private record Entry(Bytes value, long number) {}

    private record Event(long number, String key, Optional<Bytes> value) {}

    /** Contents of the store at a time. */
    record Copy(TreeMap<String, Entry> entries, List<Event> history, Set<Long> leases, long number) {}

    Copy copy() {
        return new Copy(new TreeMap<>(entries), List.copyOf(history), Set.copyOf(leases), number);
    }

    boolean isDown() {
        return down;
    }

    void goDown() {
        down = true;
        List.copyOf(watches).forEach(watch -> watch.end("connection reset"));
    }

    void returnRestored(Copy copy) {
        entries.clear();
        entries.putAll(copy.entries());
        history.clear();
        history.addAll(copy.history());
        leases.clear();
        leases.addAll(copy.leases());
        number = copy.number();
        era++;
        down = false;
    }

    Optional<String> read(String key) {
        return Optional.ofNullable(entries.get(key)).map(entry -> entry.value().toText());
    }

    List<String> keys(String prefix) {
        return entries.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    void put(String key, String value) {
        write(key, Optional.of(Bytes.ofText(value)));
    }

    void delete(String key) {
        if (entries.containsKey(key)) {
            write(key, Optional.empty());
        }
    }

    private void write(String key, Optional<Bytes> value) {
        number++;
        value.ifPresentOrElse(bytes -> entries.put(key, new Entry(bytes, number)), () -> entries.remove(key));
        Event event = new Event(number, key, value);
        history.add(event);
        List.copyOf(watches).forEach(watch -> watch.deliver(List.of(event)));
    }

    private static final class RateLimit {
        private final int callsPerSecond;
        private long second;
        private int calls;

        RateLimit(int callsPerSecond) {
            this.callsPerSecond = callsPerSecond;
        }

        boolean tryAcquire(long nowMillis) {
            if (nowMillis / 1_000 != second) {
                second = nowMillis / 1_000;
                calls = 0;
            }
            calls++;
            return calls <= callsPerSecond;
        }
    }

    /** A host's access to the store. */
    final class Client implements KeyValueStore {
        private final int delayMillis = 1 + random.nextInt(MAX_DELAY_MILLIS);
        private final List<OpenWatch> ownWatches = new ArrayList<>();
        private long knownEra;
        private boolean cutOff;

        /** Cuts the host off from the store, or connects it again. */
        void setCutOff(boolean newCutOff) {
            cutOff = newCutOff;
            if (cutOff) {
                List.copyOf(ownWatches).forEach(watch -> watch.end("connection reset"));
            }
        }

        private void onEra(long responseEra) {
            if (responseEra > knownEra) {
                knownEra = responseEra;
                List.copyOf(ownWatches).stream()
                        .filter(watch -> watch.after.era() < responseEra)
                        .forEach(OpenWatch::loseHistory);
            }
        }

        private <T> CompletableFuture<T> read(Supplier<T> action) {
            readCount++;
            CompletableFuture<T> result = new CompletableFuture<>();
            loop.schedule(delayMillis, () -> {
                if (down || cutOff || !readLimit.tryAcquire(loop.nowMillis())) {
                    rejectedCount += down ? 0 : 1;
                    loop.schedule(
                            delayMillis, () -> result.completeExceptionally(new StoreUnavailableException("rejected")));
                    return;
                }
                T value = action.get();
                long responseEra = era;
                loop.schedule(delayMillis, () -> {
                    onEra(responseEra);
                    if (responseEra < knownEra) {
                        result.completeExceptionally(new StoreUnavailableException("earlier era"));
                    } else {
                        result.complete(value);
                    }
                });
            });
            return result;
        }

        @Override
        public CompletableFuture<Optional<StoreValue>> get(String key) {
            return read(() -> Optional.ofNullable(entries.get(key)).map(entry -> toStoreValue(key, entry)));
        }

        private StoreValue toStoreValue(String key, Entry entry) {
            return new StoreValue(key, entry.value(), new StoreRevision(era, entry.number()));
        }

        @Override
        public CompletableFuture<Listing> list(String prefix) {
            return read(() -> new Listing(
                    keys(prefix).stream()
                            .map(key -> toStoreValue(key, entries.get(key)))
                            .toList(),
                    new StoreRevision(era, number)));
        }

        @Override
        public CompletableFuture<WriteOutcome> putIfRevision(
                String key, Bytes value, StoreRevision expected, OptionalLong leaseId) {
            return write(key, expected, Optional.of(value), leaseId);
        }

        @Override
        public CompletableFuture<WriteOutcome> deleteIfRevision(String key, StoreRevision expected) {
            return write(key, expected, Optional.empty(), OptionalLong.empty());
        }

        private CompletableFuture<WriteOutcome> write(
                String key, StoreRevision expected, Optional<Bytes> value, OptionalLong leaseId) {
            boolean conditional = !expected.equals(ABSENT);
            if (conditional && expected.era() < knownEra) {
                return CompletableFuture.completedFuture(new WriteOutcome.Conflict());
            }
            writeCount++;
            CompletableFuture<WriteOutcome> result = new CompletableFuture<>();
            loop.schedule(delayMillis, () -> {
                long responseEra = era;
                WriteOutcome outcome = writeNow(key, expected, value, leaseId);
                boolean otherEra = conditional && responseEra != expected.era();
                loop.schedule(
                        delayMillis,
                        () -> result.complete(
                                outcome instanceof WriteOutcome.Applied && otherEra
                                        ? new WriteOutcome.Unknown("restored")
                                        : outcome));
            });
            return result;
        }

        private WriteOutcome writeNow(String key, StoreRevision expected, Optional<Bytes> value, OptionalLong leaseId) {
            if (down || cutOff || !writeLimit.tryAcquire(loop.nowMillis())) {
                rejectedCount++;
                return new WriteOutcome.Unavailable("rejected");
            }
            if (leaseId.isPresent() && !leases.contains(leaseId.getAsLong())) {
                return new WriteOutcome.Unavailable("no such lease");
            }
            long current =
                    Optional.ofNullable(entries.get(key)).map(Entry::number).orElse(0L);
            if (current != expected.number()) {
                return new WriteOutcome.Conflict();
            }
            VirtualStore.this.write(key, value);
            return new WriteOutcome.Applied(new StoreRevision(era, number));
        }

        @Override
        public CompletableFuture<Long> grantLease(long _ttlMillis) {
            return read(() -> {
                lastLease++;
                leases.add(lastLease);
                return lastLease;
            });
        }

        @Override
        public CompletableFuture<Boolean> keepLeaseAlive(long leaseId) {
            return read(() -> leases.contains(leaseId));
        }

        @Override
        public CompletableFuture<Void> revokeLease(long leaseId) {
            return read(() -> {
                leases.remove(leaseId);
                return null;
            });
        }

        @Override
        public Watch watch(String prefix, StoreRevision after, WatchListener listener) {
            OpenWatch watch = new OpenWatch(prefix, after, listener);
            ownWatches.add(watch);
            readCount++;
            loop.schedule(delayMillis, watch::open);
            return watch::close;
        }

        private final class OpenWatch {
            private final String prefix;
            private final StoreRevision after;
            private final WatchListener listener;
            private boolean closed;

            OpenWatch(String prefix, StoreRevision after, WatchListener listener) {
                this.prefix = prefix;
                this.after = after;
                this.listener = listener;
            }

            void open() {
                if (down || cutOff || !readLimit.tryAcquire(loop.nowMillis())) {
                    rejectedCount += down ? 0 : 1;
                    end("rejected");
                } else if (after.era() != era || after.number() > number) {
                    long responseEra = era;
                    loop.schedule(delayMillis, () -> {
                        onEra(responseEra);
                        loseHistory();
                    });
                } else if (!closed) {
                    watches.add(this);
                    deliver(history.stream()
                            .filter(event -> event.number() > after.number())
                            .toList());
                }
            }

            void deliver(List<Event> events) {
                long progress = number;
                loop.schedule(delayMillis, () -> events.stream()
                        .filter(event -> !closed && event.key().startsWith(prefix))
                        .forEach(this::report));
                loop.schedule(delayMillis, () -> {
                    if (!closed) {
                        listener.onProgress(new StoreRevision(after.era(), progress));
                    }
                });
            }

            private void report(Event event) {
                StoreRevision revision = new StoreRevision(after.era(), event.number());
                event.value()
                        .ifPresentOrElse(
                                value -> listener.onPut(new StoreValue(event.key(), value, revision)),
                                () -> listener.onDelete(event.key(), revision));
            }

            void end(String reason) {
                if (!closed) {
                    close();
                    loop.schedule(delayMillis, () -> listener.onEnd(reason));
                }
            }

            void loseHistory() {
                if (!closed) {
                    close();
                    listener.onHistoryLost();
                }
            }

            void close() {
                closed = true;
                watches.remove(this);
                ownWatches.remove(this);
            }
        }
    }
}
