package io.heatherloft.daemon.http;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.heatherloft.daemon.HostCore;
import io.heatherloft.daemon.request.Explanation;
import io.heatherloft.domain.membership.Member;
import io.heatherloft.peer.generated.ExplainQuery;
import io.heatherloft.peer.generated.PeerRequest;
import io.heatherloft.ports.hosts.HostListing;
import io.heatherloft.ports.http.JsonHttpClient;
import io.heatherloft.ports.loop.Futures;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/**
 * The operators' read-only pages: live, ready, metrics, status and explanations.
 *
 * <p>Invariant: no page changes anything. Confined to the loop's thread.
 */
public final class OperationsServlet implements AsyncServlet {
    private static final String EXPLAIN_PREFIX = "/explain/";
    private static final String JSON = "application/json";
    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_UNAVAILABLE = 503;

    private final HostCore host;
    private final PrometheusRegistry metrics;

    /** Creates the pages of a host. */
    public OperationsServlet(HostCore host, PrometheusRegistry metrics) {
        this.host = host;
        this.metrics = metrics;
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) throws IOException {
        String path = request.getPath();
        return switch (path) {
            case "/live" -> text(STATUS_OK, "live");
            case "/ready" -> host.isReady() ? text(STATUS_OK, "ready") : text(STATUS_UNAVAILABLE, "not ready");
            case "/metrics" -> metrics();
            case "/status" -> json(
                    JsonHttpClient.MAPPER.valueToTree(HostStatus.of(host)).toString());
            default -> path.startsWith(EXPLAIN_PREFIX)
                    ? explain(path.substring(EXPLAIN_PREFIX.length()))
                    : text(STATUS_NOT_FOUND, "no such page");
        };
    }

    private Promise<HttpResponse> explain(String requestId) {
        Optional<Explanation> found = host.explanations().find(requestId);
        if (found.isPresent()) {
            return json(JsonHttpClient.MAPPER.valueToTree(found.get().view()).toString());
        }
        List<String> peers = otherHosts();
        if (peers.isEmpty()) {
            return text(STATUS_NOT_FOUND, "no host remembers request " + requestId);
        }
        SettablePromise<HttpResponse> response = new SettablePromise<>();
        AtomicInteger open = new AtomicInteger(peers.size());
        peers.forEach(address -> {
            PeerRequest.Builder query = PeerRequest.newBuilder()
                    .setExplain(ExplainQuery.newBuilder().setRequestId(requestId));
            Futures.onComplete(host.gossiper().call(address, query), (reply, failure) -> {
                if (failure == null && !reply.getExplain().getJson().isEmpty()) {
                    json(reply.getExplain().getJson()).whenResult(response::trySet);
                }
                if (open.decrementAndGet() == 0) {
                    text(STATUS_NOT_FOUND, "no host remembers request " + requestId)
                            .whenResult(response::trySet);
                }
            });
        });
        return response;
    }

    // Shortly after a start the hosts have not met yet, so those of the host list are asked as well.
    private List<String> otherHosts() {
        String self = host.fleet().members().self().id();
        return Stream.concat(
                        host.fleet().members().alivePeers().stream().map(Member::address),
                        host.fleet().hostListing().entryHosts().stream()
                                .filter(listed -> !listed.id().equals(self))
                                .map(HostListing.EntryHost::peerAddress))
                .distinct()
                .toList();
    }

    private Promise<HttpResponse> metrics() throws IOException {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        new PrometheusTextFormatWriter(false).write(buffer, metrics.scrape());
        return Promise.of(HttpResponse.ok200()
                .withHeader(HttpHeaders.CONTENT_TYPE, PrometheusTextFormatWriter.CONTENT_TYPE)
                .withBody(buffer.toByteArray())
                .build());
    }

    private static Promise<HttpResponse> json(String document) {
        return Promise.of(HttpResponse.ok200()
                .withHeader(HttpHeaders.CONTENT_TYPE, JSON)
                .withBody(document)
                .build());
    }

    private static Promise<HttpResponse> text(int status, String body) {
        return Promise.of(HttpResponse.ofCode(status).withPlainText(body).build());
    }
}
