package io.heatherloft.standins;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.heatherloft.ports.http.JsonHttpClient;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A booking service: a POST books and must not be repeated, a GET looks up.
 *
 * <p>Confined to the event loop's thread.
 */
public final class PlainServiceStandIn implements AsyncServlet {
    private static final int STATUS_CREATED = 201;
    private static final int MAX_BODY_BYTES = 1_048_576;
    private static final int STATUS_UNAVAILABLE = 503;

    private final String name;
    private final List<String> bookings = new ArrayList<>();
    private boolean draining;

    /** Creates a service; its name is part of each answer. */
    public PlainServiceStandIn(String name) {
        this.name = name;
    }

    /** Returns the bodies of all bookings that ran, in order. */
    public List<String> bookings() {
        return List.copyOf(bookings);
    }

    /** Refuses new work from now on. */
    public void startDraining() {
        draining = true;
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        if (draining) {
            return Promise.of(HttpResponse.ofCode(STATUS_UNAVAILABLE)
                    .withHeader(HttpHeaders.CONNECTION, "close")
                    .withPlainText("leaving")
                    .build());
        }
        if (request.getMethod() == HttpMethod.GET) {
            return Promise.of(StandInServer.json(JsonHttpClient.MAPPER
                    .createObjectNode()
                    .put("served_by", name)
                    .put("path", request.getPathAndQuery())
                    .put("bookings", bookings.size())));
        }
        return request.loadBody(MAX_BODY_BYTES).map(body -> {
            bookings.add(body.getString(StandardCharsets.UTF_8));
            return HttpResponse.ofCode(STATUS_CREATED)
                    .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                    .withBody(JsonHttpClient.MAPPER
                            .createObjectNode()
                            .put("booked_by", name)
                            .put("number", bookings.size())
                            .toString())
                    .build();
        });
    }
}
