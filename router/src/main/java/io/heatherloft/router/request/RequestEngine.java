package io.heatherloft.router.request;

import com.codahale.metrics.MetricRegistry;
import io.heatherloft.domain.admission.StopDeadlines;
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
import io.heatherloft.router.http.OpenRequest;
import io.heatherloft.router.log.DecisionLog;
import io.heatherloft.router.peers.ColdServerGuard;
import io.heatherloft.router.peers.HostReports;
import io.heatherloft.router.peers.ServerNotices;
import java.util.Optional;

/**
 * Handles the requests of callers: admits each request, then runs attempts on backend servers until there is a final
 * response.
 *
 * <p>Invariant: each request gets exactly one final response. Confined to the loop's thread.
 */
public final class RequestEngine implements CallerHandler {
    // Requests that arrive before the fleet's state is loaded are delayed up to this time after the start, within which
    // the store usually responds.
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
    private final ServerNotices serverNotices;
    private final ColdServerGuard coldServers;
    private final Optional<AdmissionControl> admissionControl;
    private final ResponseBuffers responseBuffers = new ResponseBuffers();
    private StopDeadlines stopDeadlines = StopDeadlines.NONE;
    private int inProgress;

    /** Creates an engine. */
    public RequestEngine(
            Loop loop,
            FleetView fleetView,
            HeaderCodec headerCodec,
            BackendConnectionPool connectionPool,
            BackendRegistry registry,
            VersionPolicies versionPolicies,
            HostReports hostReports,
            ColdServerGuard coldServers,
            EngineSettings settings,
            DecisionLog log,
            MetricRegistry metrics) {
        this.loop = loop;
        this.createdAtMillis = loop.nowMillis();
        this.fleetView = fleetView;
        this.headerCodec = headerCodec;
        this.connectionPool = connectionPool;
        this.registry = registry;
        this.versionPolicies = versionPolicies;
        this.log = log;
        this.metrics = metrics;
        this.coldServers = coldServers;
        this.serverNotices = hostReports.serverNotices();
        this.retryBudgets = new RetryBudgets(settings.retryRatio(), settings.retryAllowance(), hostReports::hostCount);
        this.backendSelector = new AttemptBackendSelector(
                loop, registry, versionPolicies, hostReports, coldServers, settings.availabilityZone());
        this.admissionControl = settings.admissionControl()
                ? Optional.of(new AdmissionControl(loop, fleetView, backendSelector, hostReports, log, metrics))
                : Optional.empty();
    }

    @Override
    public void onRequest(CallerRequest request, CallerExchange exchange) {
        boolean starting = !fleetView.isComplete() && loop.nowMillis() - createdAtMillis < STARTUP_WAIT_MILLIS;
        if (starting && !exchange.hasEnded()) {
            exchange.setListener(new KeptRequest(request, exchange));
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

    /** Returns the number of admitted requests that have no complete response; for metrics. */
    public int inProgress() {
        return inProgress;
    }

    void onRequestEnded() {
        inProgress--;
    }

    /** Begins the stop of the host; requests continue to be handled until the callers' server ends them. */
    public void beginStop(StopDeadlines deadlines) {
        stopDeadlines = deadlines;
        admissionControl.ifPresent(admission -> admission.beginStop(deadlines));
    }

    /** Returns the deadlines of the host's stop, or {@link StopDeadlines#NONE} before it. */
    StopDeadlines stopDeadlines() {
        return stopDeadlines;
    }

    private void refuse(CallerExchange exchange, RequestMetadata metadata, RefusalReason reason) {
        metrics.counter("requests_refused_total." + reason.name()).inc();
        log.request("refused", metadata.attemptId().orElse("none"), line -> line.with("reason", reason.name())
                .with("status", reason.status())
                .with(
                        "configuration_revision",
                        fleetView.configurationRevision().number())
                .with("outcome", "not_run"));
        LocalReply.send(exchange, headerCodec.localReplyHeaders(metadata), reason, reason.retryAfterSeconds());
    }

    /** The caller's side of a request that is kept while the host starts. Confined to the loop's thread. */
    private final class KeptRequest implements CallerExchange.Listener {
        private final CallerRequest request;
        private final CallerExchange exchange;

        KeptRequest(CallerRequest request, CallerExchange exchange) {
            this.request = request;
            this.exchange = exchange;
        }

        @Override
        public void onCallerDisconnected() {
            // The exchange has ended, which the next check of the start finds.
        }

        @Override
        public void onWritabilityChanged() {}

        @Override
        public void onHostStopping() {
            refuse(exchange, headerCodec.readRequest(request.headers()), RefusalReason.HOST_STOPPING);
        }

        @Override
        public OpenRequest describe(long arrivedAtMillis) {
            return new OpenRequest(
                    OpenRequest.State.KEPT_FOR_START,
                    headerCodec.readRequest(request.headers()).attemptId().orElse(""),
                    arrivedAtMillis,
                    Optional.empty());
        }
    }

    RetryBudget retryBudget(String service) {
        return retryBudgets.of(service);
    }

    Optional<AdmissionControl> admissionControl() {
        return admissionControl;
    }

    ServerNotices serverNotices() {
        return serverNotices;
    }

    ColdServerGuard coldServers() {
        return coldServers;
    }

    ResponseBuffers responseBuffers() {
        return responseBuffers;
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
