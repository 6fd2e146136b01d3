package io.heatherloft.router.request;

import com.codahale.metrics.MetricRegistry;
import io.heatherloft.domain.admission.AdmissionRequest;
import io.heatherloft.domain.admission.KnownCapacity;
import io.heatherloft.domain.admission.KnownCapacity.Reservation;
import io.heatherloft.domain.admission.ServerCapacity;
import io.heatherloft.domain.admission.ServiceAdmission;
import io.heatherloft.domain.admission.ServiceAdmission.Refusal;
import io.heatherloft.domain.admission.StopDeadlines;
import io.heatherloft.domain.admission.TokenRoom;
import io.heatherloft.domain.route.ServiceDefinition;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.fleet.BackendServerState;
import io.heatherloft.router.fleet.FleetView;
import io.heatherloft.router.log.DecisionLog;
import io.heatherloft.router.peers.HostReports;
import io.heatherloft.router.peers.HostReports.ReportedLoad;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Admission control: lets a request be sent when a server has capacity for it, and otherwise lets it wait or refuses it.
 *
 * <p>The order and the refusals are decided by {@link ServiceAdmission}. Invariants: a request is sent at once if a known
 * server has capacity for it; each request that asks is sent, refused, or withdrawn, or goes on with the attempt that it has.
 * Confined to the loop's thread.
 */
final class AdmissionControl {
    private static final long CHECK_MILLIS = 20L;
    // A server that has just rejected a request is full, whatever reports say.
    private static final long REJECTION_MILLIS = 100L;
    // A reservation that could not be used in this time is made anew, since two hosts may have chosen the same server.
    private static final long RESERVATION_MILLIS = 2_000L;
    private static final int MAX_WORKSPACE_NAMES = 64;
    private static final String OTHER_WORKSPACES = "other";
    private static final String ANONYMOUS = "anonymous";
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Loop loop;
    private final FleetView fleetView;
    private final AttemptBackendSelector selector;
    private final HostReports reports;
    private final DecisionLog log;
    private final MetricRegistry metrics;
    private final Map<String, Service> services = new HashMap<>();
    private final Set<String> workspaceNames = new HashSet<>();
    private StopDeadlines stop = StopDeadlines.NONE;
    private boolean checkScheduled;
    private Loop.Cancellation timer = () -> {};
    private boolean timerRunning;

    AdmissionControl(
            Loop loop,
            FleetView fleetView,
            AttemptBackendSelector selector,
            HostReports reports,
            DecisionLog log,
            MetricRegistry metrics) {
        this.loop = loop;
        this.fleetView = fleetView;
        this.selector = selector;
        this.reports = reports;
        this.log = log;
        this.metrics = metrics;
        reports.onReport(this::scheduleCheck);
        metrics.gauge("admission_waiting", () -> this::waiting);
    }

    /** State of a service. */
    private static final class Service {
        private final ServiceAdmission<RequestExecution> admission = new ServiceAdmission<>();
        private final IdentityHashMap<RequestExecution, AdmissionRequest<RequestExecution>> waiting =
                new IdentityHashMap<>();
        private final Deque<AdmissionRequest<RequestExecution>> arriving = new ArrayDeque<>();
        private final TokenRoom tokenRoom;
        private boolean checking;
        private Optional<Reserved> reserved = Optional.empty();
        // The request that was last sent to a server because the reports that call it full are old, while it is
        // unanswered.
        private Optional<RequestExecution> probe = Optional.empty();
        private long noProbeUntilMillis = Long.MIN_VALUE;

        Service(long hostHash) {
            tokenRoom = new TokenRoom(hostHash);
        }
    }

    private record Reserved(AdmissionRequest<RequestExecution> request, BackendServerState server, long untilMillis) {}

    /** How a request is sent. */
    private record Admitted(Optional<AttemptBackendSelector.Selection> selection, boolean probe) {
        /** The admission control does not decide on the request. */
        static final Admitted UNCHECKED = new Admitted(Optional.empty(), false);
    }

    /** Asks for admission; the request is sent, or refused, now or later. */
    void request(RequestExecution execution) {
        Service service = services.computeIfAbsent(execution.service(), _name -> newService());
        AdmissionRequest<RequestExecution> request = newRequest(service, execution);
        service.waiting.put(execution, request);
        service.arriving.add(request);
        service.admission.add(request);
        check(execution.service(), service);
    }

    private AdmissionRequest<RequestExecution> newRequest(Service service, RequestExecution execution) {
        long now = loop.nowMillis();
        RequestMetadata metadata = execution.metadata();
        boolean returned = execution.sendCount() > 0 || service.admission.isReturn(metadata.attemptId(), now);
        long arrivedAtMillis = execution.request().arrivedAtMillis();
        return new AdmissionRequest<>(
                execution,
                execution.priority(),
                execution.workspace(),
                returned,
                execution.hasBegun(),
                arrivedAtMillis,
                execution.firstAskedMillis(now),
                arrivedAtMillis + execution.route().objectiveMillis(),
                execution.deadlineAtMillis(),
                workOf(metadata),
                metadata.heldTokens());
    }

    /**
     * Returns how a request that was sent before can be sent again now; empty if no known server has capacity for it. Nothing is
     * kept for the request, so it must be sent in the same task.
     */
    Optional<AttemptBackendSelector.Selection> selectNow(RequestExecution execution) {
        Service service = services.get(execution.service());
        Capacity capacity = capacity(execution.service(), service);
        return capacity.admit(newRequest(service, execution))
                .filter(admitted -> !admitted.probe())
                .flatMap(admitted -> admitted.selection().or(execution::selectBest));
    }

    private Service newService() {
        Service service = new Service(reports.selfHash());
        service.admission.beginStop(stop);
        return service;
    }

    /** Refuses the requests that this host cannot serve before it ends, now and when it sends no more of them. */
    void beginStop(StopDeadlines deadlines) {
        stop = deadlines;
        services.values().forEach(service -> service.admission.beginStop(deadlines));
        checkAll();
        loop.schedule(Math.max(0, deadlines.lastSendMillis() - loop.nowMillis()), this::checkAll);
    }

    /** Removes a request that no longer wants to be sent. */
    void withdraw(RequestExecution execution) {
        Service service = services.get(execution.service());
        if (service == null) {
            return;
        }
        AdmissionRequest<RequestExecution> request = service.waiting.remove(execution);
        if (request != null && service.admission.remove(request)) {
            boolean _arriving = service.arriving.remove(request);
            metrics.counter("admission_total.withdrawn").inc();
            releaseReservation(service, request);
        }
        onResponseBegun(execution);
    }

    /** Called when a request is sent; returns the number of tokens that are counted for it. */
    long onSend(RequestExecution execution) {
        services.get(execution.service()).admission.onSent();
        RequestMetadata metadata = execution.metadata();
        long capacity = tokenCapacity(execution.service());
        if (capacity == 0) {
            return 0;
        }
        // A number that no server can hold would close the server to all other requests.
        long prompt = metadata.promptTokens() <= capacity ? Math.max(0, metadata.promptTokens()) : 0;
        return metadata.heldTokens() <= capacity ? metadata.heldTokens() : prompt;
    }

    /** Called when a server has begun to respond to a request, or the request has ended. */
    void onResponseBegun(RequestExecution execution) {
        Service service = services.get(execution.service());
        if (service != null && service.probe.filter(execution::equals).isPresent()) {
            service.probe = Optional.empty();
            scheduleCheck();
        }
    }

    /** Called when an attempt has ended. */
    void onAttemptEnded(RequestExecution execution, Attempt attempt, boolean slotFreed) {
        long now = loop.nowMillis();
        Service service = services.get(execution.service());
        if (slotFreed) {
            service.admission.onSlotFreed(workOf(execution.metadata()), now - attempt.sentAtMillis(), now);
        } else {
            service.admission.onFailed();
        }
        boolean probe = service.probe.filter(execution::equals).isPresent();
        if (probe && attempt.server().hasRejectedSince(now - 1)) {
            service.noProbeUntilMillis = now + REJECTION_MILLIS;
        }
        onResponseBegun(execution);
        scheduleCheck();
    }

    private static double workOf(RequestMetadata metadata) {
        return AdmissionRequest.workOf(
                Math.max(0, metadata.promptTokens()), Math.max(0, metadata.expectedOutputTokens()));
    }

    private int waiting() {
        return services.values().stream()
                .mapToInt(service -> service.admission.waiting())
                .sum();
    }

    // Checks run after the current event, in which the request that has ended may still be sent again.
    private void scheduleCheck() {
        if (!checkScheduled && waiting() > 0) {
            checkScheduled = true;
            loop.execute(() -> {
                checkScheduled = false;
                checkAll();
            });
        }
    }

    private void checkAll() {
        List.copyOf(services.keySet()).forEach(name -> {
            Service service = services.get(name);
            if (service.admission.waiting() > 0) {
                check(name, service);
            }
        });
    }

    private void updateTimer() {
        boolean needed = waiting() > 0;
        if (needed && !timerRunning) {
            timerRunning = true;
            timer = loop.schedule(CHECK_MILLIS, () -> {
                timerRunning = false;
                checkAll();
                updateTimer();
            });
        } else if (!needed && timerRunning) {
            timer.cancel();
            timerRunning = false;
        }
    }

    // Sending a request may end it or another one, which then asks again; the running check takes care of it.
    private void check(String name, Service service) {
        if (service.checking) {
            return;
        }
        service.checking = true;
        try {
            sendWaiting(name, service);
        } finally {
            service.checking = false;
        }
        updateTimer();
    }

    private void sendWaiting(String name, Service service) {
        boolean settled = false;
        while (!settled) {
            Capacity capacity = capacity(name, service);
            IdentityHashMap<RequestExecution, Admitted> admitted = new IdentityHashMap<>();
            Optional<AdmissionRequest<RequestExecution>> next = capacity.mayAdmit()
                    ? service.admission.next(
                            request -> {
                                Optional<Admitted> decision = capacity.admit(request);
                                decision.ifPresent(found -> admitted.put(request.item(), found));
                                return decision.isPresent();
                            },
                            loop.nowMillis())
                    : Optional.empty();
            if (next.isPresent()) {
                send(service, next.get(), admitted.get(next.get().item()), capacity);
            } else {
                boolean reserved = service.reserved.isPresent();
                settleArriving(service, capacity);
                refuseOverdue(service, capacity);
                expireReservation(service, capacity);
                // What was reserved may be used by others.
                settled = service.arriving.isEmpty() && (!reserved || service.reserved.isPresent());
                if (settled) {
                    reserve(service, capacity);
                }
            }
        }
    }

    private void send(
            Service service, AdmissionRequest<RequestExecution> request, Admitted admitted, Capacity capacity) {
        RequestExecution execution = request.item();
        service.waiting.remove(execution);
        releaseReservation(service, request);
        boolean waited = !service.arriving.remove(request);
        metrics.counter("admission_total." + (waited ? "admitted" : "at_once")).inc();
        if (waited) {
            log("admitted", request, capacity, line -> line.with("old_reports_only", admitted.probe()));
        }
        if (!execution.beginSend(waited)) {
            return;
        }
        if (admitted.probe()) {
            service.probe = Optional.of(execution);
        }
        admitted.selection().ifPresentOrElse(execution::send, execution::sendToBestServer);
    }

    private void settleArriving(Service service, Capacity capacity) {
        while (!service.arriving.isEmpty()) {
            AdmissionRequest<RequestExecution> request = service.arriving.remove();
            if (!service.waiting.containsKey(request.item())) {
                continue;
            }
            ServiceAdmission.Estimate estimate = service.admission.estimate(request, loop.nowMillis());
            // No other host can go on with a response that has begun.
            Optional<Refusal<RequestExecution>> refusal = request.begun() || capacity.couldSend(request)
                    ? service.admission.settle(request, loop.nowMillis())
                    : Optional.of(service.admission.refuseUnsendable(request, loop.nowMillis()));
            if (refusal.isEmpty() || refusal.get().displaced()) {
                metrics.counter("admission_total.waiting").inc();
                log("waiting", request, capacity, line -> addEstimate(line, estimate));
            }
            refusal.ifPresent(refused -> refuse(service, refused, capacity));
        }
    }

    private void refuseOverdue(Service service, Capacity capacity) {
        service.admission.refuseOverdue(loop.nowMillis()).forEach(refused -> refuse(service, refused, capacity));
    }

    private void refuse(Service service, Refusal<RequestExecution> refusal, Capacity capacity) {
        RequestExecution execution = refusal.request().item();
        service.waiting.remove(execution);
        releaseReservation(service, refusal.request());
        if (execution.keepsRunningAttempt()) {
            metrics.counter("admission_total.kept").inc();
            log("kept", refusal.request(), capacity, line -> addEstimate(line, refusal.estimate()));
            return;
        }
        // The caller need not wait for this host's queue.
        long delayMillis = refusal.stopping()
                ? Math.round(RefusalReason.HOST_STOPPING.retryAfterSeconds() * MILLIS_PER_SECOND)
                : service.admission.returnDelayMillis(
                        refusal, execution.metadata().attemptId(), loop.nowMillis());
        String outcome = refusal.displaced() ? "displaced" : "refused";
        metrics.counter("admission_total." + outcome).inc();
        metrics.counter("admission_refused_total." + execution.route().name()).inc();
        metrics.counter("admission_refused_by_workspace_total." + workspaceName(execution.workspace()))
                .inc();
        log(outcome, refusal.request(), capacity, line -> {
            addEstimate(line, refusal.estimate());
            line.with("return_ms", delayMillis);
        });
        if (refusal.stopping()) {
            execution.refuseForStop();
        } else {
            execution.refuseForCapacity(delayMillis / MILLIS_PER_SECOND);
        }
    }

    // Bounds the number of metrics.
    private String workspaceName(String workspace) {
        if (workspace.isEmpty()) {
            return ANONYMOUS;
        }
        if (workspaceNames.size() < MAX_WORKSPACE_NAMES) {
            workspaceNames.add(workspace);
        }
        return workspaceNames.contains(workspace) ? workspace : OTHER_WORKSPACES;
    }

    private void expireReservation(Service service, Capacity capacity) {
        long now = loop.nowMillis();
        service.reserved
                .filter(reserved -> now >= reserved.untilMillis()
                        || !capacity.view.healthy().contains(reserved.server()))
                .ifPresent(reserved -> releaseReservation(service, reserved.request()));
    }

    // A request that goes first but whose tokens no server can hold would otherwise always be overtaken by shorter
    // ones.
    private void reserve(Service service, Capacity capacity) {
        long now = loop.nowMillis();
        if (service.reserved.isEmpty()) {
            service.admission
                    .firstProtected(capacity::isBlockedByTokens, now)
                    .ifPresent(request -> capacity.toReserve(request).ifPresent(server -> {
                        server.setReservedTokens(request.tokens());
                        service.reserved = Optional.of(new Reserved(request, server, now + RESERVATION_MILLIS));
                    }));
        }
    }

    private static void releaseReservation(Service service, AdmissionRequest<RequestExecution> request) {
        service.reserved.filter(reserved -> reserved.request().equals(request)).ifPresent(reserved -> {
            reserved.server().setReservedTokens(0);
            service.reserved = Optional.empty();
        });
    }

    private long tokenCapacity(String service) {
        return fleetView
                .configuration()
                .flatMap(configuration -> configuration.findService(service))
                .map(ServiceDefinition::cacheCapacityTokens)
                .orElse(0L);
    }

    private Capacity capacity(String name, Service service) {
        AttemptBackendSelector.View view = selector.view(name);
        Map<String, ReportedLoad> loads = reports.reportedLoads();
        long tokenCapacity = tokenCapacity(name);
        long now = loop.nowMillis();
        if (tokenCapacity > 0) {
            service.tokenRoom.update(
                    reports.knownHostHashes(),
                    view.usable().stream()
                            .map(BackendServerState::idHash)
                            .sorted()
                            .toList());
        }
        List<KnownCapacity.Server<BackendServerState>> servers = view.healthy().stream()
                .map(server -> {
                    ReportedLoad others = loads.getOrDefault(server.entry().id(), ReportedLoad.NONE);
                    return new KnownCapacity.Server<>(
                            server,
                            server.idHash(),
                            new ServerCapacity(
                                    server.entry().slots(),
                                    tokenCapacity,
                                    server.outstanding() + others.requests(),
                                    server.outstanding() + others.recentRequests(),
                                    server.heldTokens() + others.tokens(),
                                    service.tokenRoom.requestsOn(server.idHash()),
                                    server.hasRejectedSince(now - REJECTION_MILLIS)));
                })
                .toList();
        long oldestReportMillis = view.healthy().stream()
                .mapToLong(server -> loads.getOrDefault(server.entry().id(), ReportedLoad.NONE)
                        .oldestMillis())
                .min()
                .orElse(now);
        return new Capacity(
                service,
                view,
                new KnownCapacity<>(
                        servers,
                        reports.selfHash(),
                        service.reserved.map(reserved -> new Reservation<>(
                                reserved.server(), reserved.request().tokens()))),
                Math.max(0, now - oldestReportMillis));
    }

    /** Capacity of a service's servers at one moment. */
    private final class Capacity {
        private final Service service;
        private final AttemptBackendSelector.View view;
        private final KnownCapacity<BackendServerState> known;
        private final long reportAgeMillis;

        Capacity(
                Service service,
                AttemptBackendSelector.View view,
                KnownCapacity<BackendServerState> known,
                long reportAgeMillis) {
            this.service = service;
            this.view = view;
            this.known = known;
            this.reportAgeMillis = reportAgeMillis;
        }

        /** Returns false if no request can be sent now. */
        boolean mayAdmit() {
            // Requests on which the admission control does not decide are found when they arrive.
            return known.mayHaveSlot() || view.healthy().isEmpty() || !service.arriving.isEmpty();
        }

        Optional<Admitted> admit(AdmissionRequest<RequestExecution> request) {
            RequestExecution execution = request.item();
            AttemptBackendSelector.Version version =
                    selector.versionFor(view, execution.metadata(), execution.triedServers());
            // Without a healthy server, or one that could ever hold the request, it is sent or refused as without
            // admission control.
            if (view.healthy().stream().noneMatch(version::isOf)
                    || !known.couldHoldAlone(request.tokens(), version::isOf)) {
                // A response that has begun waits for a server instead of being broken off.
                return request.begun() && execution.selectBest().isEmpty()
                        ? Optional.empty()
                        : Optional.of(Admitted.UNCHECKED);
            }
            boolean reserved = service.reserved
                    .filter(reservation -> reservation.request().equals(request))
                    .isPresent();
            Predicate<BackendServerState> allowed = server -> version.isOf(server) && !execution.isLeaving(server);
            Predicate<BackendServerState> untried = server -> allowed.test(server) && !execution.hasTried(server);
            List<BackendServerState> servers = known.withCapacity(request.tokens(), reserved, untried);
            if (servers.isEmpty()) {
                servers = known.withCapacity(request.tokens(), reserved, allowed);
            }
            Optional<AttemptBackendSelector.Selection> selection =
                    selector.selectAmong(servers, execution.metadata(), version);
            return selection.isPresent()
                    ? Optional.of(new Admitted(selection, false))
                    : probe(request, version)
                            .map(server -> new Admitted(
                                    Optional.of(new AttemptBackendSelector.Selection(server, version.reason())), true));
        }

        // One request at a time: a server that accepts it has room for others, and one that rejects it costs an
        // attempt.
        private Optional<BackendServerState> probe(
                AdmissionRequest<RequestExecution> request, AttemptBackendSelector.Version version) {
            return service.probe.isPresent() || loop.nowMillis() < service.noProbeUntilMillis
                    ? Optional.empty()
                    : known.leastLoadedByOldReports(
                            request.tokens(),
                            server -> version.isOf(server) && !request.item().hasTried(server));
        }

        boolean isBlockedByTokens(AdmissionRequest<RequestExecution> request) {
            AttemptBackendSelector.Version version = selector.versionFor(
                    view, request.item().metadata(), request.item().triedServers());
            return !known.canHold(request.tokens(), version::isOf) && known.couldSend(request.tokens(), version::isOf);
        }

        boolean couldSend(AdmissionRequest<RequestExecution> request) {
            AttemptBackendSelector.Version version = selector.versionFor(
                    view, request.item().metadata(), request.item().triedServers());
            return known.couldSend(request.tokens(), version::isOf);
        }

        Optional<BackendServerState> toReserve(AdmissionRequest<RequestExecution> request) {
            AttemptBackendSelector.Version version = selector.versionFor(
                    view, request.item().metadata(), request.item().triedServers());
            return known.toReserve(request.tokens(), version::isOf);
        }
    }

    private static void addEstimate(StringMapMessage line, ServiceAdmission.Estimate estimate) {
        line.with("ahead", estimate.ahead())
                .with("expected_wait_ms", Math.round(estimate.waitMillis().orElse(-1)))
                .with("expected_service_ms", Math.round(estimate.serviceMillis()));
    }

    private void log(
            String decision,
            AdmissionRequest<RequestExecution> request,
            Capacity capacity,
            Consumer<StringMapMessage> fields) {
        RequestExecution execution = request.item();
        log.request("admission", execution.metadata().attemptId().orElse(""), line -> {
            line.with("decision", decision)
                    .with("route", execution.route().name())
                    .with("service", execution.service())
                    .with("workspace", request.workspace())
                    .with("priority", request.priority())
                    .with("returned", request.returned())
                    .with("waited_ms", loop.nowMillis() - request.queuedAtMillis())
                    .with("time_left_ms", execution.timeLeftMillis())
                    .with("objective_left_ms", request.objectiveAtMillis() - loop.nowMillis())
                    .with("work", Math.round(request.work()))
                    .with("tokens", request.tokens())
                    .with("waiting", capacity.service.admission.waiting())
                    .with("servers", capacity.known.serverCount())
                    .with("servers_with_slot", capacity.known.serversWithSlot())
                    .with("report_age_ms", capacity.reportAgeMillis);
            fields.accept(line);
        });
    }
}
