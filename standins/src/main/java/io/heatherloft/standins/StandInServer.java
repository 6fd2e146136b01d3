package io.heatherloft.standins;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.heatherloft.ports.http.JsonHttpClient;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/**
 * HTTP server of a stand-in, with fault injection.
 *
 * <p>{@code POST /faults} with a JSON object sets the faults: {@code delay_millis} delays each response, {@code down}
 * rejects each call with status 503, {@code lose_answers} executes calls but breaks the connection instead of
 * responding. Confined to the event loop's thread, except for construction.
 */
public final class StandInServer {
    private static final int MAX_BODY_BYTES = 16_777_216;
    private static final int STATUS_UNAVAILABLE = 503;

    private final Eventloop eventloop;
    private final AsyncServlet servlet;
    private final InetSocketAddress address;
    private HttpServer server;
    private Faults faults = Faults.NONE;

    /** Creates a server that listens once {@link #listen} is called. */
    public StandInServer(Eventloop eventloop, InetSocketAddress address, AsyncServlet servlet) {
        this.eventloop = eventloop;
        this.address = address;
        this.servlet = servlet;
    }

    public void listen() throws IOException {
        server = HttpServer.builder(eventloop, this::serve)
                .withListenAddress(address)
                .build();
        server.listen();
    }

    /** Stops listening and closes idle connections. */
    public void close() {
        if (server != null) {
            server.close();
            server = null;
        }
    }

    /** Replaces the injected faults. */
    public void setFaults(Faults newFaults) {
        faults = newFaults;
    }

    static HttpResponse json(JsonNode document) {
        return HttpResponse.ok200()
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withBody(document.toString())
                .build();
    }

    static Promise<JsonNode> readJson(HttpRequest request) {
        return request.loadBody(MAX_BODY_BYTES)
                .map(body -> JsonHttpClient.MAPPER.readTree(body.getString(StandardCharsets.UTF_8)));
    }

    private Promise<HttpResponse> serve(HttpRequest request) throws Exception {
        if (request.getPath().equals("/faults")) {
            return readJson(request).map(switches -> {
                faults = Faults.parse(switches);
                return HttpResponse.ok200().withPlainText("ok").build();
            });
        }
        if (faults.down()) {
            return Promise.of(HttpResponse.ofCode(STATUS_UNAVAILABLE)
                    .withPlainText("down")
                    .build());
        }
        Faults activeFaults = faults;
        Promise<HttpResponse> result = servlet.serve(request);
        Promise<HttpResponse> delayed = activeFaults.delayMillis() > 0
                ? result.then(response -> Promises.delay(Duration.ofMillis(activeFaults.delayMillis()), response))
                : result;
        return activeFaults.dropResponses() ? delayed.map(_response -> AbortedResponses.abortedResponse()) : delayed;
    }

    /**
     * Faults injected into a stand-in's responses.
     *
     * @param delayMillis delay of each response
     * @param down true to reject each call with status 503
     * @param dropResponses true to execute calls but break the connection instead of responding
     */
    public record Faults(long delayMillis, boolean down, boolean dropResponses) {
        /** No fault. */
        public static final Faults NONE = new Faults(0, false, false);

        static Faults parse(JsonNode document) {
            return new Faults(
                    document.path("delay_millis").asLong(),
                    document.path("down").asBoolean(),
                    document.path("lose_answers").asBoolean());
        }
    }
}
