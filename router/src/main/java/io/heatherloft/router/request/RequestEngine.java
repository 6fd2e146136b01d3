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
    private static final long START_MILLIS = 1_000L;
    private static final long START_POLL_MILLIS = 10L;

    private final long createdAtMillis;
    private final Loop loop;
    private final FleetKnowledge knowledge;
    private final HeaderCodec dialect;
    private final BackendPool pool;
    private final BackendRegistry registry;
    private final VersionPolicies versions;
    private final BackendChooser chooser;
    private final DecisionLog log;
    private final MetricRegistry metrics;
    private final RetryBudgets retryBudgets;
    private int inProgress;

    /** Creates an engine. */
    public RequestEngine(
            Loop loop,
            FleetKnowledge knowledge,
            HeaderCodec dialect,
            BackendPool pool,
            BackendRegistry registry,
            VersionPolicies versions,
            HostReports reports,
            EngineSettings settings,
            DecisionLog log,
            MetricRegistry metrics) {
        this.loop = loop;
        this.createdAtMillis = loop.nowMillis();
        this.knowledge = knowledge;
        this.dialect = dialect;
        this.pool = pool;
        this.registry = registry;
        this.versions = versions;
        this.log = log;
        this.metrics = metrics;
        this.retryBudgets = new RetryBudgets(settings.retryRatio(), settings.retryAllowance(), reports::hostCount);
        this.chooser = new BackendChooser(loop, registry, versions, reports, settings.availabilityZone());
    }

    @Override
    public void onRequest(CallerRequest request, CallerExchange exchange) {
        boolean starting = !knowledge.isComplete() && loop.nowMillis() - createdAtMillis < START_MILLIS;
        if (starting && !exchange.hasEnded()) {
            loop.schedule(START_POLL_MILLIS, () -> onRequest(request, exchange));
        } else if (!exchange.hasEnded()) {
            admit(request, exchange);
        }
    }

    private void admit(CallerRequest request, CallerExchange exchange) {
        RequestMetadata facts = dialect.readRequest(request.headers());
        Optional<RoutingConfiguration> configuration = knowledge.configuration();
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
                .with("configuration_revision", knowledge.configurationRevision())
                .with("outcome", "not_run"));
        CallerReply.refuse(exchange, dialect.localReplyHeaders(facts), reason, reason.retryAfterSeconds());
    }

    void onEnded() {
        inProgress--;
    }

    RetryBudget retryBudget(String service) {
        return retryBudgets.of(service);
    }

    Loop loop() {
        return loop;
    }

    FleetKnowledge knowledge() {
        return knowledge;
    }

    HeaderCodec dialect() {
        return dialect;
    }

    BackendPool pool() {
        return pool;
    }

    BackendRegistry registry() {
        return registry;
    }

    VersionPolicies versions() {
        return versions;
    }

    BackendChooser chooser() {
        return chooser;
    }

    DecisionLog log() {
        return log;
    }

    MetricRegistry metrics() {
        return metrics;
    }
}
