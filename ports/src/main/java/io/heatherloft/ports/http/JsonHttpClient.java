package io.heatherloft.ports.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.IHttpClient;
import io.activej.promise.Promise;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

/**
 * Calls a platform service with JSON over HTTP.
 *
 * <p>Invariant: an answer other than 200 fails the future with {@link UnexpectedStatusException}. Confined to the
 * loop's thread.
 */
public final class JsonHttpClient {
    /** Shared codec; its configuration is never changed. */
    public static final ObjectMapper MAPPER = new ObjectMapper();

    private static final int STATUS_OK = 200;
    private static final int MAX_RESPONSE_BYTES = 33_554_432;

    private final IHttpClient client;
    private final String baseUrl;

    /** Creates a caller of the service at {@code baseUrl}, which has no slash at its end. */
    public JsonHttpClient(IHttpClient client, String baseUrl) {
        this.client = client;
        this.baseUrl = baseUrl;
    }

    /** Posts a document and returns the answer. */
    public CompletableFuture<JsonNode> post(String path, JsonNode body) {
        HttpRequest request = HttpRequest.post(baseUrl + path)
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withBody(body.toString())
                .build();
        return send(request);
    }

    /** Reads a document. */
    public CompletableFuture<JsonNode> get(String path) {
        return send(HttpRequest.get(baseUrl + path).build());
    }

    /** Sends a request and returns the answer. */
    public CompletableFuture<JsonNode> send(HttpRequest request) {
        Promise<JsonNode> answer = client.request(request)
                .then(response -> response.loadBody(MAX_RESPONSE_BYTES).map(body -> {
                    String text = body.getString(StandardCharsets.UTF_8);
                    if (response.getCode() != STATUS_OK) {
                        throw new UnexpectedStatusException(response.getCode(), text);
                    }
                    return parse(text);
                }));
        return answer.toCompletableFuture();
    }

    private static JsonNode parse(String text) throws JsonProcessingException {
        return MAPPER.readTree(text);
    }

    /** An answer with another status than 200. */
    public static final class UnexpectedStatusException extends Exception {
        private static final long serialVersionUID = 1L;
        private static final int FIRST_SERVER_ERROR = 500;

        private final int status;

        UnexpectedStatusException(int status, String body) {
            super("status " + status + ": " + body);
            this.status = status;
        }

        /** Returns true if the service refused the call itself, rather than failing while it ran. */
        public boolean isRefusal() {
            return status < FIRST_SERVER_ERROR;
        }
    }
}
