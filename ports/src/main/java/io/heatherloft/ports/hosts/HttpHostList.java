package io.heatherloft.ports.hosts;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.IHttpClient;
import io.activej.promise.Promise;
import io.heatherloft.domain.routing.BackendServer;
import io.heatherloft.ports.http.JsonHttpClient;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Reads the host list over HTTP with conditional requests, so that an unchanged list costs a few hundred bytes
 * whatever its length.
 *
 * <p>Invariant: a failed read never replaces the last listing. Confined to the loop's thread.
 */
public final class HttpHostList implements HostList {
    private static final int STATUS_NOT_MODIFIED = 304;
    private static final int STATUS_OK = 200;
    private static final int MAX_LISTING_BYTES = 4_194_304;

    private final IHttpClient client;
    private final String url;
    private String entityTag = "";
    private HostListing lastListing = HostListing.EMPTY;

    /** Creates a reader of the list at {@code baseUrl}, which has no slash at its end. */
    public HttpHostList(IHttpClient client, String baseUrl) {
        this.client = client;
        this.url = baseUrl + "/hosts";
    }

    @Override
    public CompletableFuture<HostListing> read() {
        HttpRequest request = HttpRequest.get(url)
                .withHeader(HttpHeaders.of("If-None-Match"), entityTag)
                .build();
        return client.request(request).then(this::handleResponse).toCompletableFuture();
    }

    private Promise<HostListing> handleResponse(HttpResponse response) {
        if (response.getCode() == STATUS_NOT_MODIFIED) {
            return Promise.of(lastListing);
        }
        if (response.getCode() != STATUS_OK) {
            return Promise.ofException(new IllegalStateException("host list status " + response.getCode()));
        }
        String tag = response.getHeader(HttpHeaders.of("ETag"));
        return response.loadBody(MAX_LISTING_BYTES).map(body -> {
            lastListing = parse(JsonHttpClient.MAPPER.readTree(body.getString(StandardCharsets.UTF_8)));
            entityTag = tag == null ? "" : tag;
            return lastListing;
        });
    }

    private static HostListing parse(JsonNode document) {
        List<BackendServer> servers = new ArrayList<>();
        List<HostListing.EntryHost> entryHosts = new ArrayList<>();
        document.path("hosts").forEach(host -> {
            String zone = host.path("availability_zone").asText();
            String address = host.path("address").asText();
            if (host.path("role").asText().equals("entry")) {
                entryHosts.add(new HostListing.EntryHost(host.path("id").asText(), address, zone));
            } else {
                boolean leaving = host.path("state").asText().equals("leaving");
                servers.add(new BackendServer(address, host.path("pool").asText(), zone, leaving));
            }
        });
        return new HostListing(List.copyOf(servers), List.copyOf(entryHosts));
    }
}
