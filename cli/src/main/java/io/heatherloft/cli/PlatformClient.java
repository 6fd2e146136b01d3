package io.heatherloft.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.heatherloft.domain.ledger.WorkspaceTotals;
import io.heatherloft.peer.ledger.BillReader;
import io.heatherloft.ports.configuration.ConfigurationRepository;
import io.heatherloft.ports.http.HttpClients;
import io.heatherloft.ports.http.JsonHttpClient;
import io.heatherloft.ports.loop.ActiveJLoop;
import io.heatherloft.ports.loop.Futures;
import io.heatherloft.ports.store.EtcdGatewayStore;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;

/**
 * Blocking client for the platform's key-value store and the operations pages of hosts.
 *
 * <p>Invariant: requests run on a separate event loop thread. The methods block until the response arrives; they may be
 * called from any thread, but only from one at a time.
 */
public final class PlatformClient implements AutoCloseable {
    private static final long TIMEOUT_SECONDS = 15L;

    private final Eventloop eventloop = Eventloop.create();
    private final ActiveJLoop loop = new ActiveJLoop(eventloop);
    private final EtcdGatewayStore store;
    private final HttpClient client;

    private PlatformClient(String storeUrl) {
        eventloop.keepAlive(true);
        Thread thread = new Thread(eventloop, "heatherloft-cli");
        thread.setDaemon(true);
        thread.start();
        this.client = eventloop
                .submit(() -> io.activej.promise.Promise.of(HttpClients.withoutKeepAlive(eventloop)))
                .join();
        this.store = new EtcdGatewayStore(client, loop, storeUrl);
    }

    /** Opens a client for the store at a URL. */
    public static PlatformClient open(String storeUrl) {
        return new PlatformClient(storeUrl);
    }

    /** Runs an action on the configuration repository and waits for its result. */
    public <T> T withConfigurationRepository(Function<ConfigurationRepository, CompletableFuture<T>> action) {
        return await(() -> action.apply(new ConfigurationRepository(store, loop)));
    }

    /** Reads the billed totals by workspace. */
    public Map<String, WorkspaceTotals> readBills() {
        return await(() -> new BillReader(store, loop).read());
    }

    /** Reads a JSON document from the operations address of a host. */
    public JsonNode readJson(String operationsUrl, String path) {
        return await(() -> new JsonHttpClient(client, operationsUrl).get(path));
    }

    @Override
    public void close() {
        eventloop.keepAlive(false);
        eventloop.execute(eventloop::breakEventloop);
    }

    private <T> T await(java.util.function.Supplier<CompletableFuture<T>> action) {
        CompletableFuture<T> result = new CompletableFuture<>();
        eventloop.execute(() -> Futures.forward(action.get(), result));
        try {
            return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException exception) {
            if (exception.getCause() instanceof JsonHttpClient.UnexpectedStatusException status && status.isRefusal()) {
                throw new CommandException(ExitCode.NOT_FOUND, status.getMessage());
            }
            throw new CommandException(
                    ExitCode.UNAVAILABLE,
                    "request failed: " + exception.getCause().getMessage());
        } catch (TimeoutException _exception) {
            throw new CommandException(ExitCode.UNAVAILABLE, "no response within " + TIMEOUT_SECONDS + " s");
        } catch (InterruptedException _exception) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.UNAVAILABLE, "interrupted while waiting for the response");
        }
    }
}
