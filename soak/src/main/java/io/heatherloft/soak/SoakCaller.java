package io.heatherloft.soak;

import io.heatherloft.standins.platform.PlatformExample;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * A caller that sends one request after the other and keeps its connections as long as the hosts do.
 *
 * <p>Its records are read after its thread has ended.
 */
final class SoakCaller implements Runnable {
    // Above the longest route's time and deadline, so that only a host that never answers is given up.
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
     * A request with its answer.
     *
     * @param response null if none arrived whole
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
        InvariantChecker.SentRequest sent = new InvariantChecker.SentRequest(kind, name + '-' + exchanges.size());
        try {
            HttpResponse<String> answer =
                    client.send(buildRequest(sent, address), HttpResponse.BodyHandlers.ofString());
            return new Exchange(
                    sent,
                    new InvariantChecker.ReceivedResponse(
                            answer.statusCode(),
                            answer.headers()
                                    .firstValue(PlatformExample.REQUEST_ID)
                                    .orElse(""),
                            answer.headers().firstValue(PlatformExample.SEAL).orElse(""),
                            answer.body()));
        } catch (IOException _exception) {
            // Hosts are killed and links cut; what that may do to a request is checked from the servers' side.
            return new Exchange(sent, null);
        }
    }

    private static HttpRequest buildRequest(InvariantChecker.SentRequest sent, String address) {
        Map<String, String> plain = PlatformExample.plainHeaders(sent.id(), SoakFleet.API_KEY, DEADLINE_MILLIS);
        String base = "http://" + address;
        return switch (sent.kind()) {
            case BOOKING -> newRequestBuilder(base + "/bookings/x", plain)
                    .POST(HttpRequest.BodyPublishers.noBody())
                    .build();
            case LOOKUP -> newRequestBuilder(base + "/lookups/x", plain).GET().build();
            case STREAM -> newRequestBuilder(
                            base + "/plans/north",
                            PlatformExample.streamHeaders(sent.id(), SoakFleet.API_KEY, DEADLINE_MILLIS, sent.id()))
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
