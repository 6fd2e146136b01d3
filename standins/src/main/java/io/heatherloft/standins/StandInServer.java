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
 * An HTTP server of a stand-in, with the fault switches that all stand-ins have.
 *
 * <p>{@code POST /faults} with a JSON object sets switches: {@code delay_millis} holds each answer back, {@code down}
 * refuses each call with status 503, {@code lose_answers} carries calls out but breaks the connection instead of
 * answering. Confined to the event loop's thread, but for construction.
 */
public final class StandInServer {
    private static final int MAX_BODY_BYTES = 16_777_216;
    private static final int STATUS_UNAVAILABLE = 503;

    private final Eventloop eventloop;
    private final AsyncServlet servlet;
    private final InetSocketAddress address;
    private HttpServer server;
    private Faults faults = Faults.NONE;

    /** Creates a server that does not listen yet. */
    public StandInServer(Eventloop eventloop, InetSocketAddress address, AsyncServlet servlet) {
        this.eventloop = eventloop;
        this.address = address;
        this.servlet = servlet;
    }

    /** Starts to listen. */
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

    /** Replaces the fault switches. */
    public void setFaults(Faults changed) {
        faults = changed;
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
            return Promise.of(
                    HttpResponse.ofCode(STATUS_UNAVAILABLE).withPlainText("down").build());
        }
        Faults inForce = faults;
        Promise<HttpResponse> answer = servlet.serve(request);
        Promise<HttpResponse> delayed = inForce.delayMillis() > 0
                ? answer.then(response -> Promises.delay(Duration.ofMillis(inForce.delayMillis()), response))
                : answer;
        return inForce.dropResponses() ? delayed.map(_response -> AbortedResponses.abortedResponse()) : delayed;
    }

    /**
     * Fault switches of a stand-in.
     */
    public record Faults(long delayMillis, boolean down, boolean dropResponses) {
        /** No fault. */
        public static final Faults NONE = new Faults(0, false, false);

        static Faults parse(JsonNode switches) {
            return new Faults(
                    switches.path("delay_millis").asLong(),
                    switches.path("down").asBoolean(),
                    switches.path("lose_answers").asBoolean());
        }
    }
}
