package io.heatherloft.daemon.http;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.bytebuf.ByteBuf;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.heatherloft.daemon.request.Problem;
import io.heatherloft.daemon.request.ProblemType;
import io.heatherloft.daemon.request.RequestService;
import io.heatherloft.daemon.request.RunStatus;
import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.configuration.Workspace;
import io.heatherloft.ports.http.JsonHttpClient;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Serves the endpoints for callers: chat completions, the list of models, and plain services.
 *
 * <p>Invariant: a request is processed only after its API key is authenticated and its body is completely received.
 * Confined to the event loop thread.
 */
public final class CallerServlet implements AsyncServlet {
    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String MODELS_PATH = "/v1/models";
    private static final String SERVICES_PREFIX = "/services/";
    private static final String BEARER = "Bearer ";
    private static final String JSON = "application/json";

    private final RequestService requests;

    /** Creates a servlet that passes requests to the request service of a host. */
    public CallerServlet(RequestService requests) {
        this.requests = requests;
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        String path = request.getPath();
        boolean knownPath = path.equals(CHAT_PATH) || path.equals(MODELS_PATH) || path.startsWith(SERVICES_PREFIX);
        if (!knownPath) {
            return refuse(ProblemType.NOT_FOUND, path);
        }
        Optional<Workspace> workspace = workspaceOf(request);
        if (workspace.isEmpty()) {
            return refuse(ProblemType.UNAUTHORIZED, "expected 'Authorization: Bearer KEY' with a key in force");
        }
        if (path.equals(MODELS_PATH) && request.getMethod() == HttpMethod.GET) {
            return Promise.of(models(workspace.get()));
        }
        if (path.equals(CHAT_PATH) && request.getMethod() == HttpMethod.POST) {
            return withBody(
                    request,
                    workspace.get(),
                    (body, channel) -> requests.chat(caller(request, workspace.get()), body, channel));
        }
        if (path.startsWith(SERVICES_PREFIX)) {
            return serveService(request, workspace.get());
        }
        return refuse(ProblemType.NOT_FOUND, request.getMethod() + " " + path);
    }

    private Promise<HttpResponse> serveService(HttpRequest request, Workspace workspace) {
        String target = request.getPathAndQuery().substring(SERVICES_PREFIX.length());
        int slash = target.indexOf('/');
        String service = slash < 0 ? target : target.substring(0, slash);
        String pathAndQuery = slash < 0 ? "/" : target.substring(slash);
        String method = request.getMethod().name();
        String contentType =
                Optional.ofNullable(request.getHeader(HttpHeaders.CONTENT_TYPE)).orElse(JSON);
        return withBody(
                request,
                workspace,
                (body, channel) -> requests.call(
                        caller(request, workspace),
                        service,
                        new RequestService.ServiceCallParts(method, pathAndQuery, contentType, body),
                        channel));
    }

    private Promise<HttpResponse> withBody(
            HttpRequest request, Workspace workspace, BiConsumer<Bytes, HttpCallerChannel> action) {
        int limit = workspace.limits().maxBodyBytes();
        return request.loadBody(limit).then((ByteBuf body, Exception failure) -> {
            if (failure != null) {
                return refuse(ProblemType.BODY_TOO_LARGE, "the body is not whole, or longer than " + limit + " bytes");
            }
            HttpCallerChannel channel = new HttpCallerChannel();
            action.accept(Bytes.copyOf(body.getArray()), channel);
            return channel.response();
        });
    }

    private Optional<Workspace> workspaceOf(HttpRequest request) {
        return Optional.ofNullable(request.getHeader(HttpHeaders.AUTHORIZATION))
                .filter(value -> value.startsWith(BEARER))
                .flatMap(value -> requests.authenticate(value.substring(BEARER.length())));
    }

    private static RequestService.Caller caller(HttpRequest request, Workspace workspace) {
        return new RequestService.Caller(
                workspace,
                Optional.ofNullable(request.getHeader(HttpHeaders.of("Idempotency-Key"))),
                Optional.ofNullable(request.getHeader(HttpHeaders.of("Heatherloft-Session"))));
    }

    private HttpResponse models(Workspace workspace) {
        ObjectNode document = JsonHttpClient.MAPPER.createObjectNode();
        document.put("object", "list");
        ArrayNode data = document.putArray("data");
        requests.modelsOf(workspace)
                .forEach(model -> data.addObject().put("id", model).put("object", "model"));
        return HttpResponse.ok200()
                .withHeader(HttpHeaders.CONTENT_TYPE, JSON)
                .withBody(document.toString())
                .build();
    }

    private static Promise<HttpResponse> refuse(ProblemType type, String detail) {
        Problem problem = Problem.of(type, RunStatus.NOT_RUN, detail);
        return Promise.of(HttpResponse.ofCode(type.status())
                .withHeader(HttpHeaders.CONTENT_TYPE, Problem.CONTENT_TYPE)
                .withHeader(HttpHeaders.of("Heatherloft-Run"), RunStatus.NOT_RUN.headerValue())
                .withBody(problem.toJson())
                .build());
    }
}
