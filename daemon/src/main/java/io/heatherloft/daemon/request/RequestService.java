package io.heatherloft.daemon.request;

import com.google.common.hash.Hashing;
import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.cascade.CascadePlanner;
import io.heatherloft.domain.configuration.Cascade;
import io.heatherloft.domain.configuration.Configuration;
import io.heatherloft.domain.configuration.PlainService;
import io.heatherloft.domain.configuration.Workspace;
import io.heatherloft.domain.ledger.RequestKey;
import io.heatherloft.domain.ledger.Retention;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * The front door: finds out who calls and what is asked, and starts the flow that answers.
 *
 * <p>Invariant: whatever is refused here was not run. Confined to the loop's thread.
 */
public final class RequestService {
    private static final long DEFAULT_DEADLINE_MILLIS = 120_000L;
    private static final long STOPPING_RETRY_MILLIS = 1_000L;
    private static final long OUTBOX_RETRY_MILLIS = 5_000L;
    // A request may itself take minutes, so ids are refused well before the ledger forgets them.
    private static final int AGE_LIMIT_DIVISOR = 2;
    private static final int NORMAL_PRIORITY = 1;

    private final RequestDependencies dependencies;
    private final ExplanationStore explanations;
    private boolean accepting = true;
    private int inProgress;

    /** Creates the front door. */
    public RequestService(RequestDependencies services, ExplanationStore explanations) {
        this.dependencies = services;
        this.explanations = explanations;
    }

    /** Finds the workspace of an API key. */
    public Optional<Workspace> authenticate(String apiKey) {
        String digest =
                Hashing.sha256().hashString(apiKey, StandardCharsets.UTF_8).toString();
        return configuration().workspaceOfKey(digest);
    }

    /** Refuses all requests from now on; those in progress go on. */
    public void stopAccepting() {
        accepting = false;
    }

    /** Returns the number of requests in progress. */
    public int inProgress() {
        return inProgress;
    }

    /** Returns the models and request classes that a workspace may name. */
    public List<String> modelsOf(Workspace workspace) {
        return java.util.stream.Stream.concat(
                        configuration().models().keySet().stream().filter(workspace::allowsModel),
                        workspace.classes().keySet().stream())
                .sorted()
                .toList();
    }

    /** Answers a chat completion. */
    public void chat(Caller caller, Bytes body, CallerChannel channel) {
        CallerChannel counted = admit(channel);
        RequestContext context = context(caller, "chat");
        Optional<Problem> refusal = refusal(caller, RequestKey.Kind.IDEMPOTENT);
        Optional<ChatRequest> request = ChatRequest.parse(body);
        if (refusal.isEmpty() && request.isEmpty()) {
            refusal = Optional.of(Problem.of(
                    ProblemType.INVALID_REQUEST,
                    RunStatus.NOT_RUN,
                    "expected a JSON object with 'model' and a non-empty list 'messages'"));
        }
        if (refusal.isPresent()) {
            refuse(context, counted, refusal.get());
            return;
        }
        Optional<ChatRoute> route = route(caller.workspace(), request.get().model());
        if (route.isEmpty()) {
            refuse(
                    context,
                    counted,
                    unknownModel(caller.workspace(), request.get().model()));
            return;
        }
        new ChatRequestHandler(dependencies, context, request.get(), route.get(), counted).run();
    }

    /** Answers a call of a plain service. */
    public void call(Caller caller, String serviceName, ServiceCallParts parts, CallerChannel channel) {
        CallerChannel counted = admit(channel);
        RequestContext context = context(caller, serviceName);
        PlainService service = configuration().services().get(serviceName);
        if (service == null || !caller.workspace().services().contains(serviceName)) {
            ProblemType type = service == null ? ProblemType.UNKNOWN_MODEL : ProblemType.NOT_ALLOWED;
            refuse(context, counted, Problem.of(type, RunStatus.NOT_RUN, "service '" + serviceName + "'"));
            return;
        }
        ServiceCall call =
                new ServiceCall(service, parts.method(), parts.pathAndQuery(), parts.contentType(), parts.body());
        RequestKey.Kind kind = call.isIdempotent() ? RequestKey.Kind.IDEMPOTENT : RequestKey.Kind.AT_MOST_ONCE;
        Optional<Problem> refusal = refusal(caller, kind);
        if (refusal.isPresent()) {
            refuse(context, counted, refusal.get());
        } else {
            new ServiceRequestHandler(dependencies, context, call, counted).run();
        }
    }

    private Optional<Problem> refusal(Caller caller, RequestKey.Kind kind) {
        if (!accepting) {
            return Optional.of(new Problem(
                    ProblemType.UNAVAILABLE, RunStatus.NOT_RUN, "this host is stopping", STOPPING_RETRY_MILLIS));
        }
        if (dependencies.ledger().isOutboxFull()) {
            return Optional.of(new Problem(
                    ProblemType.UNAVAILABLE, RunStatus.NOT_RUN, "too many bills wait", OUTBOX_RETRY_MILLIS));
        }
        return caller.requestId().flatMap(id -> idRefusal(id, kind));
    }

    private Optional<Problem> idRefusal(String requestId, RequestKey.Kind kind) {
        if (!RequestIds.isWellFormed(requestId)) {
            return Optional.of(Problem.of(
                    ProblemType.INVALID_REQUEST,
                    RunStatus.NOT_RUN,
                    "Idempotency-Key: expected 1 to 200 printable characters"));
        }
        OptionalLong madeAt = RequestIds.creationMillisOf(requestId);
        long limit = Retention.DEFAULT.ofKind(kind) / AGE_LIMIT_DIVISOR;
        if (madeAt.isPresent() && dependencies.nowMillis() - madeAt.getAsLong() > limit) {
            return Optional.of(Problem.of(
                    ProblemType.REQUEST_ID_EXPIRED,
                    RunStatus.NOT_RUN,
                    "the id was made more than " + limit + " ms ago"));
        }
        return Optional.empty();
    }

    private Optional<ChatRoute> route(Workspace workspace, String name) {
        Configuration configuration = configuration();
        CascadePlanner.PlanKey key = new CascadePlanner.PlanKey(workspace.name(), name);
        String cascadeName = workspace.classes().get(name);
        if (cascadeName != null) {
            Cascade cascade = configuration.cascades().get(cascadeName);
            List<String> models =
                    cascade.steps().stream().filter(workspace::allowsModel).toList();
            CascadePlanner.Plan plan = dependencies.planner().plan(key, cascade, dependencies.stepCosts(workspace, models));
            return models.isEmpty()
                    ? Optional.empty()
                    : Optional.of(new ChatRoute(key, models, plan, cascade.priority(), cascade.deadlineMillis()));
        }
        if (!configuration.models().containsKey(name) || !workspace.allowsModel(name)) {
            return Optional.empty();
        }
        CascadePlanner.Plan direct = new CascadePlanner.Plan(0, OptionalDouble.empty(), false);
        return Optional.of(new ChatRoute(key, List.of(name), direct, NORMAL_PRIORITY, DEFAULT_DEADLINE_MILLIS));
    }

    private Problem unknownModel(Workspace workspace, String name) {
        boolean known = configuration().models().containsKey(name)
                || workspace.classes().containsKey(name);
        return Problem.of(
                known ? ProblemType.NOT_ALLOWED : ProblemType.UNKNOWN_MODEL,
                RunStatus.NOT_RUN,
                "model '" + name + "', expected one of " + modelsOf(workspace));
    }

    private RequestContext context(Caller caller, String asked) {
        String requestId = caller.requestId()
                .filter(RequestIds::isWellFormed)
                .orElseGet(
                        () -> RequestIds.generate(dependencies.nowMillis(), dependencies.ports().random()));
        Explanation explanation = new Explanation(requestId, caller.workspace().name(), asked, dependencies.nowMillis());
        explanations.put(explanation);
        return new RequestContext(caller.workspace(), requestId, caller.sessionId(), explanation);
    }

    private void refuse(RequestContext context, CallerChannel channel, Problem problem) {
        dependencies.counters().count("requests.refused." + problem.type().slug());
        context.explanation().end(problem.type().slug(), new io.heatherloft.domain.ledger.Bill(List.of()));
        ResponseWriter.send(channel, context.headers(problem.runStatus()), problem);
    }

    private CallerChannel admit(CallerChannel channel) {
        inProgress++;
        dependencies.counters().count("requests.received");
        return new CompletionTrackingChannel(channel, () -> inProgress--);
    }

    private Configuration configuration() {
        return dependencies.fleet().configuration().configuration();
    }

    /**
     * Who calls.
     *
     * @param requestId the {@code Idempotency-Key}, if there is one
     * @param sessionId the {@code Heatherloft-Session}, if there is one
     */
    public record Caller(Workspace workspace, Optional<String> requestId, Optional<String> sessionId) {}

    /** A call of a plain service as it came in. */
    public record ServiceCallParts(String method, String pathAndQuery, String contentType, Bytes body) {}
}
