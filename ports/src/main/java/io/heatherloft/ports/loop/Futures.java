package io.heatherloft.ports.loop;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Attaches callbacks to futures in such a way that a fault in a callback is logged and counted, never lost.
 *
 * <p>Example:
 *
 * <pre>{@code
 * Futures.onResult(store.get("key"), value -> show(value));
 * }</pre>
 *
 * <p>Invariant: a callback runs at most once. Safe for use by several threads.
 */
public final class Futures {
    private static final ThreadLocal<Integer> FAILED_CALLBACK_COUNT = ThreadLocal.withInitial(() -> 0);

    private Futures() {}

    // Looked up at each use: faults are rare, and setting up the logging library would delay a starting process.
    private static Logger log() {
        return LogManager.getLogger(Futures.class);
    }

    /** Calls back with the result or, if the future fails, with the cause of the failure. */
    public static <T> void onComplete(CompletableFuture<T> future, BiConsumer<T, Throwable> callback) {
        CompletableFuture<T> attached = future.whenComplete((result, failure) -> {
            try {
                callback.accept(result, unwrap(failure));
            } catch (RuntimeException | AssertionError fault) {
                FAILED_CALLBACK_COUNT.set(FAILED_CALLBACK_COUNT.get() + 1);
                log().error("callback failed", fault);
            }
        });
        if (attached.isCancelled()) {
            log().debug("future was cancelled");
        }
    }

    /** Calls back with the result; a failure of the future is ignored. */
    public static <T> void onResult(CompletableFuture<T> future, Consumer<T> callback) {
        onComplete(future, (result, failure) -> {
            if (failure == null) {
                callback.accept(result);
            }
        });
    }

    /** Passes the outcome of one future on to another. */
    public static <T> void forward(CompletableFuture<T> from, CompletableFuture<T> target) {
        onComplete(from, (result, failure) -> {
            if (failure == null) {
                target.complete(result);
            } else {
                target.completeExceptionally(failure);
            }
        });
    }

    /** Fails a future with a {@link java.util.concurrent.TimeoutException} after a time, in milliseconds. */
    public static <T> CompletableFuture<T> withTimeout(CompletableFuture<T> future, Loop loop, long timeoutMillis) {
        CompletableFuture<T> result = new CompletableFuture<>();
        Loop.Cancellation timer = loop.schedule(
                timeoutMillis,
                () -> result.completeExceptionally(
                        new java.util.concurrent.TimeoutException("no answer in " + timeoutMillis + " ms")));
        onComplete(future, (value, failure) -> {
            timer.cancel();
            if (failure == null) {
                result.complete(value);
            } else {
                result.completeExceptionally(failure);
            }
        });
        return result;
    }

    /** Returns the failure without the wrapper that dependent futures add; null if there is none. */
    public static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }

    /** Returns the number of callbacks that ended with a fault on this thread, that is, on this loop. */
    public static int failedCallbackCount() {
        return FAILED_CALLBACK_COUNT.get();
    }
}
