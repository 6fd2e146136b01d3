package io.heatherloft.soak;

import io.heatherloft.standins.platform.PlatformFixtures;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/**
 * A caller that sends requests one at a time and reuses its connections until the hosts close them.
 *
 * <p>Its exchanges must be read only after its thread has ended.
 */
final class SoakCaller implements Runnable {
    // Exceeds every route timeout and request deadline, so that it expires only if a host never answers.
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);
    private static final long DEADLINE_MILLIS = 3_000L;
    private static final int MAX_PAUSE_MILLIS = 15;

    private final String name;
    private final List<String> addresses;
    private final Random random;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<Exchange> exchanges = new ArrayList<>();
    private volatile boolean stopped;

    /**
     * A request and its response.
     *
     * @param response null if no complete response arrived
     */
    record Exchange(InvariantChecker.SentRequest request, InvariantChecker.ReceivedResponse response) {}

    SoakCaller(String name, List<String> addresses, long seed) {
        this.name = name;
        this.addresses = addresses;
        this.random = new Random(seed);
    }

    void stop() {
        stopped = true;
    }

    List<Exchange> exchanges() {
        return exchanges;
    }

    @Override
    public void run() {
        InvariantChecker.Kind[] kinds = InvariantChecker.Kind.values();
        try {
            while (!stopped) {
                exchanges.add(
                        send(kinds[random.nextInt(kinds.length)], addresses.get(random.nextInt(addresses.size()))));
                Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
            }
        } catch (InterruptedException _exception) {
            Thread.currentThread().interrupt();
        }
    }

    Exchange send(InvariantChecker.Kind kind, String address) throws InterruptedException {
        InvariantChecker.SentRequest request = new InvariantChecker.SentRequest(kind, name + '-' + exchanges.size());
        return exchange(request, buildRequest(request, address));
    }

    /** Sends a lookup. */
    Exchange sendLookup(String id, String address) throws InterruptedException {
        InvariantChecker.SentRequest request =
                new InvariantChecker.SentRequest(InvariantChecker.Kind.LOOKUP, name + '-' + id);
        return exchange(request, buildRequest(request, address));
    }

    /**
     * Sends the booking that crashes servers.
     *
     * @return the response; empty if no complete response arrived
     */
    Optional<HttpResponse<String>> sendCrashingBooking(InvariantChecker.SentRequest request, String address)
            throws InterruptedException {
        Map<String, String> headers = PlatformFixtures.plainHeaders(request.id(), SoakFleet.API_KEY, DEADLINE_MILLIS);
        return responseTo(newRequestBuilder("http://" + address + SoakFleet.CRASHING_TARGET, headers)
                .POST(HttpRequest.BodyPublishers.noBody())
                .build());
    }

    /**
     * Sends a stream request whose prompt has a part before its last one.
     *
     * @return the response; empty if no complete response arrived
     */
    Optional<HttpResponse<String>> sendStream(InvariantChecker.SentRequest request, String part, String address)
            throws InterruptedException {
        Map<String, String> headers = PlatformFixtures.streamHeaders(
                request.id(), SoakFleet.API_KEY, DEADLINE_MILLIS, "5c1e07a2:800," + part + ":410", request.id());
        return responseTo(newRequestBuilder("http://" + address + "/plans/north", headers)
                .POST(HttpRequest.BodyPublishers.ofString("hello " + request.id()))
                .build());
    }

    private Optional<HttpResponse<String>> responseTo(HttpRequest request) throws InterruptedException {
        try {
            return Optional.of(client.send(request, HttpResponse.BodyHandlers.ofString()));
        } catch (IOException _exception) {
            // The connection ends if the servers crash while they respond.
            return Optional.empty();
        }
    }

    private Exchange exchange(InvariantChecker.SentRequest request, HttpRequest httpRequest)
            throws InterruptedException {
        try {
            HttpResponse<String> response = client.send(httpRequest, HttpResponse.BodyHandlers.ofString());
            return new Exchange(
                    request,
                    new InvariantChecker.ReceivedResponse(
                            response.statusCode(),
                            response.headers()
                                    .firstValue(PlatformFixtures.REQUEST_ID_HEADER)
                                    .orElse(""),
                            response.headers()
                                    .firstValue(PlatformFixtures.SEAL_HEADER)
                                    .orElse(""),
                            response.body()));
        } catch (IOException _exception) {
            // Failed exchanges are expected, because the soak kills hosts and drops traffic. Whether the request was
            // executed correctly is checked from what the backend servers recorded.
            return new Exchange(request, null);
        }
    }

    private static HttpRequest buildRequest(InvariantChecker.SentRequest request, String address) {
        Map<String, String> plainHeaders =
                PlatformFixtures.plainHeaders(request.id(), SoakFleet.API_KEY, DEADLINE_MILLIS);
        String base = "http://" + address;
        return switch (request.kind()) {
            case BOOKING -> newRequestBuilder(base + "/bookings/x", plainHeaders)
                    .POST(HttpRequest.BodyPublishers.noBody())
                    .build();
            case LOOKUP -> newRequestBuilder(base + "/lookups/x", plainHeaders)
                    .GET()
                    .build();
            case STREAM -> newRequestBuilder(
                            base + "/plans/north",
                            PlatformFixtures.streamHeaders(
                                    request.id(), SoakFleet.API_KEY, DEADLINE_MILLIS, request.id()))
                    .POST(HttpRequest.BodyPublishers.ofString("hello"))
                    .build();
        };
    }

    private static HttpRequest.Builder newRequestBuilder(String target, Map<String, String> headers) {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder().uri(URI.create(target)).timeout(REQUEST_TIMEOUT);
        headers.forEach(builder::header);
        return builder;
    }
}
