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
import java.util.Random;

/**
 * A caller that sends one request after the other and keeps its connections as long as the hosts do.
 *
 * <p>Its records are read after its thread has ended.
 */
final class SoakCaller implements Runnable {
    // Above the longest route's time and deadline, so that only a host that never answers is given up.
    private static final Duration PATIENCE = Duration.ofSeconds(30);
    private static final long DEADLINE_MILLIS = 3_000L;
    private static final int PAUSE_MILLIS = 15;

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
     * @param answer null if none arrived whole
     */
    record Exchange(PromiseCheck.Sent sent, PromiseCheck.Received answer) {}

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
        PromiseCheck.Kind[] kinds = PromiseCheck.Kind.values();
        try {
            while (!stopped) {
                exchanges.add(
                        send(kinds[random.nextInt(kinds.length)], addresses.get(random.nextInt(addresses.size()))));
                Thread.sleep(random.nextInt(PAUSE_MILLIS));
            }
        } catch (InterruptedException _exception) {
            Thread.currentThread().interrupt();
        }
    }

    Exchange send(PromiseCheck.Kind kind, String address) throws InterruptedException {
        PromiseCheck.Sent sent = new PromiseCheck.Sent(kind, name + '-' + exchanges.size());
        try {
            HttpResponse<String> answer = client.send(request(sent, address), HttpResponse.BodyHandlers.ofString());
            return new Exchange(
                    sent,
                    new PromiseCheck.Received(
                            answer.statusCode(),
                            answer.headers()
                                    .firstValue(PlatformFixtures.REQUEST_ID_HEADER)
                                    .orElse(""),
                            answer.headers().firstValue(PlatformFixtures.SEAL_HEADER).orElse(""),
                            answer.body()));
        } catch (IOException _exception) {
            // Hosts are killed and links cut; what that may do to a request is checked from the servers' side.
            return new Exchange(sent, null);
        }
    }

    private static HttpRequest request(PromiseCheck.Sent sent, String address) {
        Map<String, String> plain = PlatformFixtures.plainHeaders(sent.id(), SoakFleet.KEY, DEADLINE_MILLIS);
        String base = "http://" + address;
        return switch (sent.kind()) {
            case BOOKING -> builder(base + "/bookings/x", plain)
                    .POST(HttpRequest.BodyPublishers.noBody())
                    .build();
            case LOOKUP -> builder(base + "/lookups/x", plain).GET().build();
            case STREAM -> builder(
                            base + "/plans/north",
                            PlatformFixtures.streamHeaders(sent.id(), SoakFleet.KEY, DEADLINE_MILLIS, sent.id()))
                    .POST(HttpRequest.BodyPublishers.ofString("hello"))
                    .build();
        };
    }

    private static HttpRequest.Builder builder(String target, Map<String, String> headers) {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder().uri(URI.create(target)).timeout(PATIENCE);
        headers.forEach(builder::header);
        return builder;
    }
}
