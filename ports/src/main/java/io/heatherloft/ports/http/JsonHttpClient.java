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
 * Client of a platform service that exchanges JSON over HTTP.
 *
 * <p>A response with a status other than 200 fails the future with {@link UnexpectedStatusException}. Confined to the
 * event loop thread.
 */
public final class JsonHttpClient {
    /** Shared mapper. Its configuration must not be changed. */
    public static final ObjectMapper MAPPER = new ObjectMapper();

    private static final int STATUS_OK = 200;
    private static final int MAX_RESPONSE_BYTES = 33_554_432;

    private final IHttpClient client;
    private final String baseUrl;

    /** Creates a client of the service at {@code baseUrl}, which must not end with a slash. */
    public JsonHttpClient(IHttpClient client, String baseUrl) {
        this.client = client;
        this.baseUrl = baseUrl;
    }

    /** Sends a POST request with a JSON body and returns the JSON body of the response. */
    public CompletableFuture<JsonNode> post(String path, JsonNode body) {
        HttpRequest request = HttpRequest.post(baseUrl + path)
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withBody(body.toString())
                .build();
        return send(request);
    }

    /** Sends a GET request and returns the JSON body of the response. */
    public CompletableFuture<JsonNode> get(String path) {
        return send(HttpRequest.get(baseUrl + path).build());
    }

    /** Sends a request and returns the JSON body of the response. */
    public CompletableFuture<JsonNode> send(HttpRequest request) {
        Promise<JsonNode> result = client.request(request)
                .then(response -> response.loadBody(MAX_RESPONSE_BYTES).map(body -> {
                    String text = body.getString(StandardCharsets.UTF_8);
                    if (response.getCode() != STATUS_OK) {
                        throw new UnexpectedStatusException(response.getCode(), text);
                    }
                    return parse(text);
                }));
        return result.toCompletableFuture();
    }

    private static JsonNode parse(String text) throws JsonProcessingException {
        return MAPPER.readTree(text);
    }

    /** Thrown when a service responds with a status other than 200. */
    public static final class UnexpectedStatusException extends Exception {
        private static final long serialVersionUID = 1L;
        private static final int FIRST_SERVER_ERROR = 500;

        private final int status;

        UnexpectedStatusException(int status, String body) {
            super("status " + status + ": " + body);
            this.status = status;
        }

        /** Returns true if the service rejected the request before executing it, which a status below 500 indicates. */
        public boolean isRefusal() {
            return status < FIRST_SERVER_ERROR;
        }
    }
}
