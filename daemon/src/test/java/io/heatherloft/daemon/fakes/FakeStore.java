package io.heatherloft.daemon.fakes;

import io.heatherloft.domain.Bytes;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.ports.store.KeyValueStore;
import io.heatherloft.ports.store.StoreUnavailableException;
import io.heatherloft.ports.store.StoreValue;
import io.heatherloft.ports.store.WriteOutcome;
import io.heatherloft.standins.InMemoryKeyValueStore;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** The key-value service with faults; each client has a view on its own loop. */
public final class FakeStore {
    private static final long TIMEOUT_MILLIS = 1_000L;

    private final InMemoryKeyValueStore memory = new InMemoryKeyValueStore();
    private final Schedule.HostLoop serviceLoop;
    private final Random random;
    private final List<Runnable> watchEnders = new ArrayList<>();
    private final List<Consumer<StoreValue>> writeObservers = new ArrayList<>();
    private boolean down;
    private double lostAnswers;
    private long delayMillis = 2;
    private long calls;
    private long unseenEffects;

    public FakeStore(Schedule schedule, Random random) {
        this.serviceLoop = schedule.newLoop();
        this.random = random;
        memory.watch("", "\uffff", 0, value -> writeObservers.forEach(observer -> observer.accept(value)));
    }

    public InMemoryKeyValueStore memory() {
        return memory;
    }

    public void onWrite(Consumer<StoreValue> observer) {
        writeObservers.add(observer);
    }

    public void setDown(boolean changed) {
        down = changed;
        if (down) {
            List.copyOf(watchEnders).forEach(Runnable::run);
        }
    }

    /** Sets the probability that a write's answer is lost; its effect then happens, does not, or comes late. */
    public void setLostAnswers(double probability) {
        lostAnswers = probability;
    }

    public void setDelayMillis(long changed) {
        delayMillis = changed;
    }

    /** Returns the number of writes that took effect without their writer being told. */
    public long unseenEffects() {
        return unseenEffects;
    }

    public long calls() {
        return calls;
    }

    public KeyValueStore viewFor(Loop loop) {
        return new View(loop);
    }

    private final class View implements KeyValueStore {
        private final Loop loop;

        View(Loop loop) {
            this.loop = loop;
        }

        @Override
        public CompletableFuture<Optional<StoreValue>> get(String key) {
            return read(() -> memory.get(key));
        }

        @Override
        public CompletableFuture<Listing> list(String prefix) {
            return read(() -> new Listing(memory.range(prefix, prefix + "\uffff"), memory.revision()));
        }

        @Override
        public CompletableFuture<WriteOutcome> putIfRevision(
                String key, Bytes value, long expectedRevision, OptionalLong leaseId) {
            return write(() -> memory.put(key, value, expectedRevision, leaseId));
        }

        @Override
        public CompletableFuture<WriteOutcome> deleteIfRevision(String key, long expectedRevision) {
            return write(() -> memory.delete(key, expectedRevision));
        }

        @Override
        public CompletableFuture<Long> grantLease(long ttlMillis) {
            return read(() -> memory.grantLease(loop.nowMillis(), ttlMillis));
        }

        @Override
        public CompletableFuture<Boolean> keepLeaseAlive(long leaseId) {
            return read(() -> memory.keepAlive(leaseId, loop.nowMillis()) > 0);
        }

        @Override
        public CompletableFuture<Void> revokeLease(long leaseId) {
            return read(() -> {
                memory.revoke(leaseId);
                return null;
            });
        }

        @Override
        public Watch watch(String prefix, long fromRevision, WatchListener listener) {
            boolean[] closed = new boolean[1];
            Runnable end = () -> loop.execute(() -> {
                if (!closed[0]) {
                    closed[0] = true;
                    listener.onEnd("service down");
                }
            });
            if (down) {
                end.run();
                return () -> closed[0] = true;
            }
            watchEnders.add(end);
            Runnable stop = memory.watch(
                    prefix,
                    prefix + "\uffff",
                    fromRevision,
                    value -> loop.schedule(delayMillis, () -> {
                        if (!closed[0]) {
                            listener.onPut(value);
                        }
                    }));
            return () -> {
                closed[0] = true;
                stop.run();
            };
        }

        private <T> CompletableFuture<T> read(Supplier<T> action) {
            CompletableFuture<T> result = new CompletableFuture<>();
            calls++;
            serviceLoop.schedule(delayMillis, () -> {
                if (down) {
                    loop.schedule(
                            delayMillis, () -> result.completeExceptionally(new StoreUnavailableException("down")));
                } else {
                    T value = action.get();
                    loop.schedule(delayMillis, () -> result.complete(value));
                }
            });
            return result;
        }

        private CompletableFuture<WriteOutcome> write(BooleanSupplier action) {
            CompletableFuture<WriteOutcome> result = new CompletableFuture<>();
            calls++;
            serviceLoop.schedule(delayMillis, () -> {
                if (down) {
                    WriteOutcome outcome = random.nextBoolean()
                            ? new WriteOutcome.Unavailable("down")
                            : new WriteOutcome.Unknown("down");
                    loop.schedule(delayMillis, () -> result.complete(outcome));
                } else if (random.nextDouble() < lostAnswers) {
                    loseAnswer(action);
                    loop.schedule(TIMEOUT_MILLIS, () -> result.complete(new WriteOutcome.Unknown("answer lost")));
                } else {
                    boolean applied = action.getAsBoolean();
                    WriteOutcome outcome =
                            applied ? new WriteOutcome.Applied(memory.revision()) : new WriteOutcome.Conflict();
                    loop.schedule(delayMillis, () -> result.complete(outcome));
                }
            });
            return result;
        }

        private void attempt(BooleanSupplier action) {
            if (action.getAsBoolean()) {
                unseenEffects++;
            }
        }

        private void loseAnswer(BooleanSupplier action) {
            switch (random.nextInt(3)) {
                case 0 -> attempt(action);
                case 1 -> serviceLoop.schedule(random.nextInt(4_000), () -> attempt(action));
                default -> {
                    // The write is lost on its way.
                }
            }
        }
    }
}
