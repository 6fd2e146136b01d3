package io.heatherloft.ports.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.heatherloft.domain.Bytes;
import io.heatherloft.ports.http.HttpClients;
import io.heatherloft.ports.http.JsonHttpClient;
import io.heatherloft.ports.loop.Futures;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;

/**
 * A {@link BackendClient} over HTTP.
 *
 * <p>Load comes in the {@code endpoint-load-metrics} header (Open Request Cost Aggregation, JSON form); a backend
 * server that is leaving answers 503 with {@code Connection: close}. Invariant: a request that may not be repeated
 * never travels on a kept connection, so a connection that cannot be made proves that it did not run. Confined to the
 * loop's thread.
 */
public final class HttpBackendClient implements BackendClient {
    private static final HttpHeader LOAD_METRICS = HttpHeaders.of("endpoint-load-metrics");
    private static final String JSON_FORMAT_PREFIX = "JSON ";
    private static final int STATUS_UNAVAILABLE = 503;

    private final HttpClient keepAliveClient;
    private final HttpClient noKeepAliveClient;

    /** Creates a client from one that keeps connections and one that does not. */
    public HttpBackendClient(HttpClient keepingAlive, HttpClient connectingAnew) {
        this.keepAliveClient = keepingAlive;
        this.noKeepAliveClient = connectingAnew;
    }

    @Override
    public Exchange send(BackendRequest request, BackendListener listener) {
        HttpRequest.Builder builder = HttpRequest.builder(
                HttpMethod.valueOf(request.method()), "http://" + request.address() + request.path());
        request.headers().forEach(header -> builder.withHeader(HttpHeaders.of(header.name()), header.value()));
        if (request.body().length() > 0) {
            builder.withBody(request.body().toArray());
        }
        HttpRequest httpRequest = builder.build();
        HttpExchange exchange = new HttpExchange(httpRequest, listener);
        exchange.start((request.idempotent() ? keepAliveClient : noKeepAliveClient).request(httpRequest));
        return exchange;
    }

    private static BackendResponseHead parseHead(HttpResponse response) {
        String connection =
                Optional.ofNullable(response.getHeader(HttpHeaders.CONNECTION)).orElse("");
        boolean leaving = response.getCode() == STATUS_UNAVAILABLE && connection.equalsIgnoreCase("close");
        String contentType = Optional.ofNullable(response.getHeader(HttpHeaders.CONTENT_TYPE))
                .orElse("application/octet-stream");
        return new BackendResponseHead(response.getCode(), contentType, leaving, parseQueueLength(response));
    }

    private static OptionalDouble parseQueueLength(HttpResponse response) {
        String metrics = response.getHeader(LOAD_METRICS);
        if (metrics == null || !metrics.startsWith(JSON_FORMAT_PREFIX)) {
            return OptionalDouble.empty();
        }
        try {
            JsonNode waiting = JsonHttpClient.MAPPER
                    .readTree(metrics.substring(JSON_FORMAT_PREFIX.length()))
                    .path("named_metrics")
                    .path("waiting");
            return waiting.isNumber() ? OptionalDouble.of(waiting.asDouble()) : OptionalDouble.empty();
        } catch (JsonProcessingException _exception) {
            // A malformed load report is the same as none.
            return OptionalDouble.empty();
        }
    }

    private static final class HttpExchange implements Exchange {
        private final HttpRequest request;
        private final BackendListener listener;
        private ChannelSupplier<ByteBuf> bodyStream;
        private boolean ended;

        HttpExchange(HttpRequest request, BackendListener listener) {
            this.request = request;
            this.listener = listener;
        }

        void start(Promise<HttpResponse> answer) {
            answer.whenComplete((response, failure) -> {
                if (ended) {
                    Optional.ofNullable(response)
                            .ifPresent(late -> late.takeBodyStream().close());
                } else if (failure != null) {
                    fail(failure);
                } else {
                    bodyStream = response.takeBodyStream();
                    listener.onHead(parseHead(response));
                    readAvailable();
                }
            });
        }

        @Override
        public void cancel() {
            ended = true;
            if (bodyStream != null) {
                bodyStream.close();
            }
        }

        // Loops over what has arrived instead of recursing, so that a burst of chunks needs no deep stack.
        private void readAvailable() {
            while (!ended) {
                Promise<ByteBuf> next = bodyStream.get();
                if (!next.isComplete()) {
                    next.whenComplete((chunk, failure) -> {
                        if (!ended && handleChunk(chunk, failure)) {
                            readAvailable();
                        }
                    });
                    return;
                }
                if (!handleChunk(next.isResult() ? next.getResult() : null, next.getException())) {
                    return;
                }
            }
        }

        private boolean handleChunk(ByteBuf chunk, Exception failure) {
            if (failure != null) {
                fail(failure);
                return false;
            }
            if (chunk == null) {
                ended = true;
                listener.onEnd();
                return false;
            }
            CompletableFuture<Void> consumed = listener.onChunk(Bytes.copyOf(chunk.asArray()));
            if (consumed.isDone()) {
                return true;
            }
            Futures.onResult(consumed, _nothing -> readAvailable());
            return false;
        }

        private void fail(Exception failure) {
            ended = true;
            BackendFailure.Kind kind =
                    HttpClients.failedToConnect(request) ? BackendFailure.Kind.NOT_SENT : BackendFailure.Kind.BROKEN;
            listener.onFailure(new BackendFailure(kind, String.valueOf(failure.getMessage())));
        }
    }
}
