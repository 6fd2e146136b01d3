package io.heatherloft.router.request;

import com.codahale.metrics.MetricRegistry;
import io.heatherloft.domain.route.KeyHolder;
import io.heatherloft.domain.route.Route;
import io.heatherloft.domain.route.RoutingConfiguration;
import io.heatherloft.domain.routing.RetryBudget;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.backend.BackendConnectionPool;
import io.heatherloft.router.fleet.BackendRegistry;
import io.heatherloft.router.fleet.FleetView;
import io.heatherloft.router.fleet.VersionPolicies;
import io.heatherloft.router.http.CallerExchange;
import io.heatherloft.router.http.CallerHandler;
import io.heatherloft.router.http.CallerRequest;
import io.heatherloft.router.log.DecisionLog;
import io.heatherloft.router.peers.HostReports;
import java.util.Optional;

/**
 * Runs the requests of callers: admission, then attempts on backend servers until one answer is passed on.
 *
 * <p>Invariant: each request gets one final answer. Confined to the loop's thread.
 */
public final class RequestEngine implements CallerHandler {
    // Time from the start of a process within which the store usually answers; requests wait for it that long.
    private static final long STARTUP_WAIT_MILLIS = 1_000L;
    private static final long STARTUP_POLL_MILLIS = 10L;

    private final long createdAtMillis;
    private final Loop loop;
    private final FleetView fleetView;
    private final HeaderCodec headerCodec;
    private final BackendConnectionPool connectionPool;
    private final BackendRegistry registry;
    private final VersionPolicies versionPolicies;
    private final AttemptBackendSelector backendSelector;
    private final DecisionLog log;
    private final MetricRegistry metrics;
    private final RetryBudgets retryBudgets;
    private int inProgress;

    /** Creates an engine. */
    public RequestEngine(
            Loop loop,
            FleetView knowledge,
            HeaderCodec dialect,
            BackendConnectionPool pool,
            BackendRegistry registry,
            VersionPolicies versions,
            HostReports reports,
            EngineSettings settings,
            DecisionLog log,
            MetricRegistry metrics) {
        this.loop = loop;
        this.createdAtMillis = loop.nowMillis();
        this.fleetView = knowledge;
        this.headerCodec = dialect;
        this.connectionPool = pool;
        this.registry = registry;
        this.versionPolicies = versions;
        this.log = log;
        this.metrics = metrics;
        this.retryBudgets = new RetryBudgets(settings.retryRatio(), settings.retryAllowance(), reports::hostCount);
        this.backendSelector = new AttemptBackendSelector(loop, registry, versions, reports, settings.availabilityZone());
    }

    @Override
    public void onRequest(CallerRequest request, CallerExchange exchange) {
        boolean starting = !fleetView.isComplete() && loop.nowMillis() - createdAtMillis < STARTUP_WAIT_MILLIS;
        if (starting && !exchange.hasEnded()) {
            loop.schedule(STARTUP_POLL_MILLIS, () -> onRequest(request, exchange));
        } else if (!exchange.hasEnded()) {
            admit(request, exchange);
        }
    }

    private void admit(CallerRequest request, CallerExchange exchange) {
        RequestMetadata facts = headerCodec.readRequest(request.headers());
        Optional<RoutingConfiguration> configuration = fleetView.configuration();
        if (configuration.isEmpty()) {
            refuse(exchange, facts, RefusalReason.NO_CONFIGURATION);
            return;
        }
        Optional<Route> route = configuration.get().findRoute(request.hostName(), request.path());
        if (route.isEmpty()) {
            refuse(exchange, facts, RefusalReason.NO_ROUTE);
            return;
        }
        Optional<KeyHolder> holder = facts.apiKey().flatMap(configuration.get()::findKeyHolder);
        boolean keyNeeded = configuration.get().keysRequired() && !route.get().anonymous();
        if (keyNeeded && holder.isEmpty()) {
            refuse(exchange, facts, RefusalReason.UNKNOWN_KEY);
            return;
        }
        if (facts.attemptId().isEmpty()) {
            refuse(exchange, facts, RefusalReason.NO_IDENTITY);
            return;
        }
        inProgress++;
        new RequestExecution(this, request, exchange, facts, route.get(), holder).start();
    }

    /** Returns the number of requests in progress. */
    public int inProgress() {
        return inProgress;
    }

    private void refuse(CallerExchange exchange, RequestMetadata facts, RefusalReason reason) {
        metrics.counter("requests_refused_total." + reason.name()).inc();
        log.request("refused", facts.attemptId().orElse("none"), line -> line.with("reason", reason.name())
                .with("status", reason.status())
                .with("configuration_revision", fleetView.configurationRevision())
                .with("outcome", "not_run"));
        LocalReply.send(exchange, headerCodec.localReplyHeaders(facts), reason, reason.retryAfterSeconds());
    }

    void onRequestEnded() {
        inProgress--;
    }

    RetryBudget retryBudget(String service) {
        return retryBudgets.of(service);
    }

    Loop loop() {
        return loop;
    }

    FleetView fleetView() {
        return fleetView;
    }

    HeaderCodec headerCodec() {
        return headerCodec;
    }

    BackendConnectionPool connectionPool() {
        return connectionPool;
    }

    BackendRegistry registry() {
        return registry;
    }

    VersionPolicies versionPolicies() {
        return versionPolicies;
    }

    AttemptBackendSelector backendSelector() {
        return backendSelector;
    }

    DecisionLog log() {
        return log;
    }

    MetricRegistry metrics() {
        return metrics;
    }
}
