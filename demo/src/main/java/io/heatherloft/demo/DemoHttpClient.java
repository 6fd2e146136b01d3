package io.heatherloft.demo;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/**
 * HTTP client that sends requests with one API key. Immutable and safe for use by several threads.
 */
final class DemoHttpClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();
    private final String apiKey;

    DemoHttpClient(String apiKey) {
        this.apiKey = apiKey;
    }

    HttpResponse<String> get(String address, String path) throws IOException, InterruptedException {
        return send(request(address, path).GET());
    }

    HttpResponse<String> post(String address, String path, String body, String... headers)
            throws IOException, InterruptedException {
        HttpRequest.Builder builder = request(address, path)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body));
        return send(headers.length > 0 ? builder.headers(headers) : builder);
    }

    private HttpRequest.Builder request(String address, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + apiKey);
    }

    private HttpResponse<String> send(HttpRequest.Builder builder) throws IOException, InterruptedException {
        return client.send(builder.build(), HttpResponse.BodyHandlers.ofString());
    }
}
