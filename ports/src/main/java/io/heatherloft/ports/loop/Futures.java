package io.heatherloft.ports.loop;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Attaches callbacks to futures. Exceptions thrown by callbacks are logged and counted instead of being silently
 * dropped.
 *
 * <p>Example:
 *
 * <pre>{@code
 * Futures.onResult(store.get("key"), value -> show(value));
 * }</pre>
 *
 * <p>Invariant: a callback runs at most once. Thread-safe.
 */
public final class Futures {
    private static final ThreadLocal<Integer> FAILED_CALLBACK_COUNT = ThreadLocal.withInitial(() -> 0);

    private Futures() {}

    // Looked up on each use, because initializing the logging library would delay start-up and failures are rare.
    private static Logger log() {
        return LogManager.getLogger(Futures.class);
    }

    /** Calls {@code callback} with the result or, if the future fails, with the cause of the failure. */
    public static <T> void onComplete(CompletableFuture<T> future, BiConsumer<T, Throwable> callback) {
        CompletableFuture<T> attached = future.whenComplete((result, failure) -> {
            try {
                callback.accept(result, unwrap(failure));
            } catch (RuntimeException | AssertionError exception) {
                FAILED_CALLBACK_COUNT.set(FAILED_CALLBACK_COUNT.get() + 1);
                log().error("callback of a future threw an exception", exception);
            }
        });
        if (attached.isCancelled()) {
            log().debug("future was cancelled");
        }
    }

    /** Calls {@code callback} with the result; a failure of the future is ignored. */
    public static <T> void onResult(CompletableFuture<T> future, Consumer<T> callback) {
        onComplete(future, (result, failure) -> {
            if (failure == null) {
                callback.accept(result);
            }
        });
    }

    /** Completes {@code target} with the outcome of {@code source}. */
    public static <T> void forward(CompletableFuture<T> source, CompletableFuture<T> target) {
        onComplete(source, (result, failure) -> {
            if (failure == null) {
                target.complete(result);
            } else {
                target.completeExceptionally(failure);
            }
        });
    }

    /**
     * Returns a future with the outcome of {@code future}, which fails with a {@link
     * java.util.concurrent.TimeoutException} if there is none within {@code timeoutMillis}.
     */
    public static <T> CompletableFuture<T> withTimeout(CompletableFuture<T> future, Loop loop, long timeoutMillis) {
        CompletableFuture<T> result = new CompletableFuture<>();
        Loop.Cancellation timer = loop.schedule(
                timeoutMillis,
                () -> result.completeExceptionally(
                        new java.util.concurrent.TimeoutException("no response within " + timeoutMillis + " ms")));
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

    /** Removes the {@link CompletionException} that dependent futures add; returns null if {@code failure} is null. */
    public static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }

    /** Returns the number of callbacks that threw an exception on the current thread, that is, on its event loop. */
    public static int failedCallbackCount() {
        return FAILED_CALLBACK_COUNT.get();
    }
}
