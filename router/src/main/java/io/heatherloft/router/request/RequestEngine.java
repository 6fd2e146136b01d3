package io.heatherloft.router.request;

import com.codahale.metrics.MetricRegistry;
import io.heatherloft.domain.route.KeyHolder;
import io.heatherloft.domain.route.Route;
import io.heatherloft.domain.route.RoutingConfiguration;
import io.heatherloft.domain.routing.RetryBudget;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.backend.BackendPool;
import io.heatherloft.router.fleet.BackendRegistry;
import io.heatherloft.router.fleet.FleetKnowledge;
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
    private final FleetKnowledge fleetView;
    private final HeaderCodec headerCodec;
    private final BackendPool connectionPool;
    private final BackendRegistry registry;
    private final VersionPolicies versions;
    private final BackendSelector backendSelector;
    private final DecisionLog log;
    private final MetricRegistry metrics;
    private final RetryBudgets retryBudgets;
    private int inProgress;

    /** Creates an engine. */
    public RequestEngine(
            Loop loop,
            FleetKnowledge fleetView,
            HeaderCodec headerCodec,
            BackendPool connectionPool,
            BackendRegistry registry,
            VersionPolicies versions,
            HostReports reports,
            EngineSettings settings,
            DecisionLog log,
            MetricRegistry metrics) {
        this.loop = loop;
        this.createdAtMillis = loop.nowMillis();
        this.fleetView = fleetView;
        this.headerCodec = headerCodec;
        this.connectionPool = connectionPool;
        this.registry = registry;
        this.versions = versions;
        this.log = log;
        this.metrics = metrics;
        this.retryBudgets = new RetryBudgets(settings.retryRatio(), settings.retryAllowance(), reports::hostCount);
        this.backendSelector = new BackendSelector(loop, registry, versions, reports, settings.availabilityZone());
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
        RequestMetadata metadata = headerCodec.readRequest(request.headers());
        Optional<RoutingConfiguration> configuration = fleetView.configuration();
        if (configuration.isEmpty()) {
            refuse(exchange, metadata, RefusalReason.NO_CONFIGURATION);
            return;
        }
        Optional<Route> route = configuration.get().findRoute(request.hostName(), request.path());
        if (route.isEmpty()) {
            refuse(exchange, metadata, RefusalReason.NO_ROUTE);
            return;
        }
        Optional<KeyHolder> keyHolder = metadata.apiKey().flatMap(configuration.get()::findKeyHolder);
        boolean keyRequired = configuration.get().keysRequired() && !route.get().anonymous();
        if (keyRequired && keyHolder.isEmpty()) {
            refuse(exchange, metadata, RefusalReason.UNKNOWN_KEY);
            return;
        }
        if (metadata.attemptId().isEmpty()) {
            refuse(exchange, metadata, RefusalReason.NO_IDENTITY);
            return;
        }
        inProgress++;
        new RequestExecution(this, request, exchange, metadata, route.get(), keyHolder).start();
    }

    /** Returns the number of requests in progress. */
    public int inProgress() {
        return inProgress;
    }

    private void refuse(CallerExchange exchange, RequestMetadata metadata, RefusalReason reason) {
        metrics.counter("requests_refused_total." + reason.name()).inc();
        log.request("refused", metadata.attemptId().orElse("none"), line -> line.with("reason", reason.name())
                .with("status", reason.status())
                .with("configuration_revision", fleetView.configurationRevision())
                .with("outcome", "not_run"));
        LocalReply.send(exchange, headerCodec.localReplyHeaders(metadata), reason, reason.retryAfterSeconds());
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

    FleetKnowledge fleetView() {
        return fleetView;
    }

    HeaderCodec headerCodec() {
        return headerCodec;
    }

    BackendPool connectionPool() {
        return connectionPool;
    }

    BackendRegistry registry() {
        return registry;
    }

    VersionPolicies versions() {
        return versions;
    }

    BackendSelector backendSelector() {
        return backendSelector;
    }

    DecisionLog log() {
        return log;
    }

    MetricRegistry metrics() {
        return metrics;
    }
}
