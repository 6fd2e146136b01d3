package io.heatherloft.daemon.fakes;

import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.StoreRevision;
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

/** In-memory key-value store with injected faults; each client receives its results on its own loop. */
public final class FakeStore {
    private static final long TIMEOUT_MILLIS = 1_000L;

    private final InMemoryKeyValueStore memory = new InMemoryKeyValueStore();
    private final VirtualTimeScheduler.HostLoop serviceLoop;
    private final Random random;
    private final List<Runnable> watchTerminators = new ArrayList<>();
    private final List<Consumer<StoreValue>> writeObservers = new ArrayList<>();
    private boolean down;
    private double responseLossProbability;
    private long delayMillis = 2;
    private long callCount;
    private long unacknowledgedWrites;

    public FakeStore(VirtualTimeScheduler schedule, Random random) {
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
            List.copyOf(watchTerminators).forEach(Runnable::run);
        }
    }

    /** Sets the probability that a write's response is lost; the write then takes effect at once, later or never. */
    public void setResponseLossProbability(double probability) {
        responseLossProbability = probability;
    }

    public void setDelayMillis(long changed) {
        delayMillis = changed;
    }

    /** Returns the number of writes that took effect although their response was lost. */
    public long unacknowledgedWrites() {
        return unacknowledgedWrites;
    }

    public long callCount() {
        return callCount;
    }

    public KeyValueStore clientFor(Loop loop) {
        return new Client(loop);
    }

    private final class Client implements KeyValueStore {
        private final Loop loop;

        Client(Loop loop) {
            this.loop = loop;
        }

        @Override
        public CompletableFuture<Optional<StoreValue>> get(String key) {
            return read(() -> memory.get(key));
        }

        @Override
        public CompletableFuture<Listing> list(String prefix) {
            return read(() ->
                    new Listing(memory.range(prefix, prefix + "\uffff"), StoreRevision.ofFirstEra(memory.revision())));
        }

        @Override
        public CompletableFuture<WriteOutcome> putIfRevision(
                String key, Bytes value, StoreRevision expectedRevision, OptionalLong leaseId) {
            return write(() -> memory.put(key, value, expectedRevision.number(), leaseId));
        }

        @Override
        public CompletableFuture<WriteOutcome> deleteIfRevision(String key, StoreRevision expectedRevision) {
            return write(() -> memory.delete(key, expectedRevision.number()));
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
        public Watch watch(String prefix, StoreRevision after, WatchListener listener) {
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
            watchTerminators.add(end);
            Runnable stop = memory.watch(
                    prefix,
                    prefix + "\uffff",
                    after.number() + 1,
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
            callCount++;
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
            callCount++;
            serviceLoop.schedule(delayMillis, () -> {
                if (down) {
                    WriteOutcome outcome = random.nextBoolean()
                            ? new WriteOutcome.Unavailable("down")
                            : new WriteOutcome.Unknown("down");
                    loop.schedule(delayMillis, () -> result.complete(outcome));
                } else if (random.nextDouble() < responseLossProbability) {
                    loseResponse(action);
                    loop.schedule(TIMEOUT_MILLIS, () -> result.complete(new WriteOutcome.Unknown("response lost")));
                } else {
                    boolean applied = action.getAsBoolean();
                    WriteOutcome outcome = applied
                            ? new WriteOutcome.Applied(StoreRevision.ofFirstEra(memory.revision()))
                            : new WriteOutcome.Conflict();
                    loop.schedule(delayMillis, () -> result.complete(outcome));
                }
            });
            return result;
        }

        private void writeWithoutAcknowledgement(BooleanSupplier action) {
            if (action.getAsBoolean()) {
                unacknowledgedWrites++;
            }
        }

        private void loseResponse(BooleanSupplier action) {
            switch (random.nextInt(3)) {
                case 0 -> writeWithoutAcknowledgement(action);
                case 1 -> serviceLoop.schedule(random.nextInt(4_000), () -> writeWithoutAcknowledgement(action));
                default -> {
                    // The request is lost, so the write never takes effect.
                }
            }
        }
    }
}
