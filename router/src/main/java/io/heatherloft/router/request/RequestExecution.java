package io.heatherloft.router.request;

import io.heatherloft.domain.route.KeyHolder;
import io.heatherloft.domain.route.Route;
import io.heatherloft.domain.routing.RetryBudget;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.backend.ExchangeFailure;
import io.heatherloft.router.fleet.BackendServerState;
import io.heatherloft.router.http.CallerExchange;
import io.heatherloft.router.http.CallerRequest;
import io.heatherloft.router.http.OpenRequest;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Predicate;

/**
 * Executes one admitted request of a caller, including retries, until the final response.
 *
 * <p>Invariants: at most one attempt is in progress; it is given up for a repetition only in the task that sends the
 * repetition, so a request keeps its attempt while there is no capacity elsewhere; the request is sent only if its
 * {@link RunHistory} lets it run; a status that implies "not executed" is returned only if no attempt can have executed
 * the request.
 * Confined to the loop's thread.
 */
final class RequestExecution implements CallerExchange.Listener {
    private static final int STATUS_OK = 200;
    private static final String SILENCE = "silence";
    // Minimum time before the deadline at which sending the request still makes sense.
    private static final long MIN_TIME_LEFT_MILLIS = 5L;
    // Failed connections tolerated per request. They don't count as sends, since no byte of the request was sent.
    private static final int MAX_CONNECT_FAILURES = 3;
    // Delay before a response that has begun is repeated after more failed connections than that.
    private static final long CONNECT_RETRY_MILLIS = 250L;
    // The retry budget of a service gains tokens with each request, so it is checked often.
    private static final long BUDGET_CHECK_MILLIS = 100L;
    // Deadline for callers that state none; they are assumed to have given up by then.
    private static final long DEFAULT_DEADLINE_MILLIS = 30_000L;

    private final RequestEngine engine;
    private final CallerRequest request;
    private final CallerExchange exchange;
    private final RequestMetadata metadata;
    private final Route route;
    private final Optional<KeyHolder> keyHolder;
    private final String service;
    private final long deadlineAtMillis;
    private final TriedServers triedServers = new TriedServers();
    private final EventRelay relay;
    private final ModelCascade cascade;
    private final RunHistory runs;
    private final CrashGuard crashGuard;
    private Loop.Cancellation deadlineTimer = () -> {};
    private Attempt attempt;
    // The inactive attempt that goes on while its repetition waits for capacity.
    private Optional<Attempt> replaceable = Optional.empty();
    private int sendCount;
    private int connectFailures;
    private long firstAskedMillis = -1;
    private boolean streamStarted;
    private boolean ended;

    RequestExecution(
            RequestEngine engine,
            CallerRequest request,
            CallerExchange exchange,
            RequestMetadata metadata,
            Route route,
            Optional<KeyHolder> keyHolder) {
        this.engine = engine;
        this.request = request;
        this.exchange = exchange;
        this.metadata = metadata;
        this.route = route;
        this.keyHolder = keyHolder;
        String affinityKey = metadata.session().or(metadata::attemptId).orElse("");
        this.service = route.serviceFor(io.heatherloft.domain.StableHash.of(route.name(), affinityKey));
        this.deadlineAtMillis = request.arrivedAtMillis()
                + Math.min(
                        metadata.deadlineMillis().orElse(DEFAULT_DEADLINE_MILLIS),
                        route.timeoutMillis().orElse(Long.MAX_VALUE / 2));
        this.crashGuard = new CrashGuard(engine.registry(), engine.connectionPool(), request, metadata, keyHolder);
        this.cascade = new ModelCascade(route.modelsBySize(), route.repeatPolicy());
        this.runs = new RunHistory(route.repeatPolicy());
        this.relay = new EventRelay(metadata.lastEventId(), this::sendEvent);
    }

    void start() {
        exchange.setListener(this);
        deadlineTimer = engine.loop().schedule(deadlineAtMillis - engine.loop().nowMillis(), this::onDeadline);
        dispatch();
    }

    RequestEngine engine() {
        return engine;
    }

    CallerRequest request() {
        return request;
    }

    RequestMetadata metadata() {
        return metadata;
    }

    Route route() {
        return route;
    }

    CrashGuard crashGuard() {
        return crashGuard;
    }

    EventRelay relay() {
        return relay;
    }

    TriedServers triedServers() {
        return triedServers;
    }

    /** Returns true if the request may be sent to a server, even though one may have executed it already. */
    boolean mayRun() {
        return runs.mayRun();
    }

    /** Returns why the request runs on its present model. */
    ModelCascade.Reason modelReason() {
        return cascade.reason();
    }

    /** Returns the number of times that the request was sent to a server. */
    int sendCount() {
        return sendCount;
    }

    /**
     * Returns the time at which the request first asked for admission, or the present one if a server may have executed it
     * since: a request that servers only reject does not wait longer than others.
     */
    long firstAskedMillis(long nowMillis) {
        boolean keeps = !runs.mayHaveExecuted() && firstAskedMillis >= 0;
        firstAskedMillis = keeps ? firstAskedMillis : nowMillis;
        return firstAskedMillis;
    }

    String workspace() {
        return keyHolder.map(KeyHolder::workspace).orElse("");
    }

    /** Returns the priority of the request, 0 being the highest. */
    int priority() {
        return keyHolder.map(holder -> holder.priorityOn(route)).orElseGet(route::priority);
    }

    long deadlineAtMillis() {
        return deadlineAtMillis;
    }

    /** Returns true if the request was sent to the server before, without a usable response. */
    boolean hasTried(BackendServerState server) {
        return triedServers.contains(server.entry().id());
    }

    long timeLeftMillis() {
        return deadlineAtMillis - engine.loop().nowMillis();
    }

    private void dispatch() {
        if (timeLeftMillis() < MIN_TIME_LEFT_MILLIS) {
            onDeadline();
            return;
        }
        Optional<RefusalReason> blocked = crashGuard.reasonToBlock();
        if (blocked.isPresent()) {
            fail(blocked.get());
            return;
        }
        if (!mayStillBeSent()) {
            refuseForStop();
            return;
        }
        if (engine.admissionControl().isPresent()) {
            engine.admissionControl().get().request(this);
        } else {
            sendToBestServer();
        }
    }

    private void dispatchUnlessEnded() {
        if (!ended) {
            dispatch();
        }
    }

    /** Returns true if the caller has begun to read the response. */
    boolean hasBegun() {
        return streamStarted;
    }

    /** Returns the best server, whether or not it has capacity; empty if none may be used. */
    Optional<AttemptBackendSelector.Selection> selectBest() {
        return engine.backendSelector().select(service, metadata, priority(), triedServers);
    }

    // For a repetition that replaces a usable response: it does not wait for capacity.
    private Optional<AttemptBackendSelector.Selection> selectNow() {
        if (crashGuard.reasonToBlock().isPresent()) {
            return Optional.empty();
        }
        return engine.admissionControl()
                .map(admission -> admission.selectNow(this))
                .orElseGet(this::selectBest);
    }

    /** Sends the request to the best server, whether or not it has capacity. */
    void sendToBestServer() {
        Optional<AttemptBackendSelector.Selection> selected = selectBest();
        if (selected.isEmpty()) {
            fail(engine.backendSelector().reasonForNoServer(service));
        } else {
            send(selected.get());
        }
    }

    /** Sends the request to a server; called by the admission control if it has waited. */
    void send(AttemptBackendSelector.Selection selected) {
        BackendServerState server = selected.server();
        recordSession(server);
        long pendingPromptTokens = pendingPromptTokens(server);
        metadata.sharedPrefixId().ifPresent(part -> server.recordPrefix(part, metadata.sharedPrefixTokens()));
        runs.recordSend();
        sendCount++;
        if (sendCount == 1) {
            engine.retryBudget(service).recordRequest();
        }
        attempt = new Attempt(
                this,
                selected,
                sendCount,
                pendingPromptTokens,
                engine.admissionControl()
                        .map(admission -> admission.onSend(this))
                        .orElse(0L));
        attempt.send(new DispatchMetadata(
                server.entry().id(),
                timeLeftMillis(),
                keyHolder.map(KeyHolder::workspace),
                urgency(),
                cascade.currentModel(),
                relay.lastEventId()));
    }

    /**
     * Called when a server has capacity for the request, which must then be sent in the same task. An attempt that it
     * replaces is given up.
     *
     * @param waited true if the request has waited, so that servers may have crashed on it meanwhile
     * @return false if the request is not sent: it has been ended, or stays with its running attempt
     */
    boolean beginSend(boolean waited) {
        Optional<RefusalReason> blocked = waited ? crashGuard.reasonToBlock() : Optional.empty();
        if (replaceable.isEmpty()) {
            blocked.ifPresent(this::fail);
            return !ended;
        }
        Attempt replaced = replaceable.get();
        replaceable = Optional.empty();
        if (blocked.isPresent() || !hasServerOtherThan(replaced.server()) || !mayRetry(SILENCE)) {
            return false;
        }
        relay.discardPartialEvent();
        replaced.cancel();
        return true;
    }

    /**
     * Called when the request is refused for lack of capacity, or because the host stops.
     *
     * @return true if only a repetition is given up, so that the request stays with its running attempt
     */
    boolean keepsRunningAttempt() {
        boolean kept = replaceable.isPresent();
        replaceable = Optional.empty();
        return kept;
    }

    private void withdrawRepetition() {
        if (replaceable.isPresent()) {
            replaceable = Optional.empty();
            engine.admissionControl().ifPresent(admission -> admission.withdraw(this));
        }
    }

    /** Ends the request because there is no capacity for it. */
    void refuseForCapacity(double retryAfterSeconds) {
        fail(RefusalReason.NO_CAPACITY, retryAfterSeconds);
    }

    /** Ends the request because the host stops and would end before the response. */
    void refuseForStop() {
        engine.log().request("stop", metadata.attemptId().orElse(""), line -> line.with("route", route.name())
                .with("service", service)
                .with("waited_ms", engine.loop().nowMillis() - request.arrivedAtMillis())
                .with("time_left_ms", timeLeftMillis())
                .with("sends", sendCount)
                .with("outcome", "refused"));
        fail(RefusalReason.HOST_STOPPING);
    }

    private boolean mayStillBeSent() {
        return engine.stopDeadlines().maySend(deadlineAtMillis, engine.loop().nowMillis());
    }

    /** Called when a server has begun to respond to an attempt, or rejects it. */
    void onResponseBegun() {
        withdrawRepetition();
        engine.admissionControl().ifPresent(admission -> admission.onResponseBegun(this));
    }

    /**
     * Called when an attempt has ended in any way.
     *
     * @param slotFreed true if the server had executed the request until then
     */
    void onAttemptEnded(Attempt ending, boolean slotFreed) {
        engine.admissionControl().ifPresent(admission -> admission.onAttemptEnded(this, ending, slotFreed));
    }

    // A session's idle time counts from the end of its last request, so the end is recorded as well as the dispatch.
    private void recordSession(BackendServerState server) {
        metadata.session().ifPresent(session -> engine.versionPolicies()
                .recordSession(service, session, server.entry().version()));
    }

    private long pendingPromptTokens(BackendServerState server) {
        boolean cached = metadata.sharedPrefixId().map(server::hasRecentPrefix).orElse(false);
        return Math.max(0, metadata.promptTokens() - (cached ? metadata.sharedPrefixTokens() : 0));
    }

    private OptionalInt urgency() {
        return route.repeatPolicy().isStream() ? OptionalInt.of(priority()) : OptionalInt.empty();
    }

    /**
     * Decides whether to keep the response that a model has started, based on the model's confidence.
     *
     * @return false if the response is discarded and the request has been sent to the largest model instead
     */
    boolean acceptsResponse(Attempt running, OptionalInt confidence) {
        if (!isCurrent(running) || streamStarted || !cascade.hasLargerModel()) {
            return true;
        }
        Optional<AttemptBackendSelector.Selection> larger =
                cascade.isSufficient(confidence) ? Optional.empty() : selectNow();
        engine.log().request("confidence", metadata.attemptId().orElse(""), line -> line.with("route", route.name())
                .with("model", cascade.currentModel().orElse(""))
                .with("prompt_tokens", metadata.promptTokens())
                .with("expected_output_tokens", metadata.expectedOutputTokens())
                .with("confidence", confidence.orElse(0))
                .with("outcome", larger.isPresent() ? "larger" : "kept"));
        if (larger.isEmpty() || !mayRetry("confidence " + confidence.orElse(0), RetryBudget::tryAcquireOptional)) {
            return true;
        }
        running.cancel();
        cascade.escalate();
        send(larger.get());
        return false;
    }

    /** Called when the server has stated that it has not executed the request and will not execute it. */
    void onNotExecuted(Attempt ending, String reason) {
        if (isCurrent(ending)) {
            withdrawRepetition();
            runs.recordNotExecuted();
            triedServers.add(ending.server().entry());
            if (streamStarted) {
                // The caller's response is lost if no server accepts the rest of it, so rejections do not use up the
                // sends.
                sendCount--;
            }
            if (mayRetry(reason)) {
                dispatch();
            } else if (streamStarted && isRetryAllowed()) {
                repeatOnceInBudget(reason);
            } else if (mayStillBeSent()) {
                fail(RefusalReason.NOT_ACCEPTED);
            } else {
                refuseForStop();
            }
        }
    }

    // For a response that has begun: waits for a token of the retry budget until the deadline.
    private void repeatOnceInBudget(String reason) {
        engine.loop().schedule(BUDGET_CHECK_MILLIS, () -> {
            if (ended) {
                return;
            }
            if (!mayStillBeSent()) {
                refuseForStop();
            } else if (engine.retryBudget(service).isAvailable() && mayRetry(reason)) {
                dispatch();
            } else {
                repeatOnceInBudget(reason);
            }
        });
    }

    /** Called when the attempt has ended without a complete response. */
    void onFailure(Attempt ending, ExchangeFailure failure) {
        if (!isCurrent(ending)) {
            return;
        }
        withdrawRepetition();
        triedServers.add(ending.server().entry());
        if (failure.kind() == ExchangeFailure.Kind.NOT_SENT) {
            crashGuard.onNotSent(ending.server(), failure);
            runs.recordNotExecuted();
            sendCount--;
            connectFailures++;
            if (connectFailures <= MAX_CONNECT_FAILURES) {
                dispatch();
            } else if (streamStarted && isRetryAllowed()) {
                engine.loop().schedule(CONNECT_RETRY_MILLIS, this::dispatchUnlessEnded);
            } else {
                fail(RefusalReason.NOT_ACCEPTED);
            }
            return;
        }
        crashGuard.onResponseInterrupted(ending.server(), ending.sentAtMillis());
        relay.discardPartialEvent();
        if (!relay.hasGap() && mayRetry(failure.reason())) {
            dispatch();
        } else {
            fail(RefusalReason.ANSWER_LOST);
        }
    }

    /**
     * Repeats the request on another server if the retry limits allow it and once a server has capacity; called when the
     * attempt has been inactive for too long. The attempt goes on until then.
     *
     * @return true if the attempt continues and should be checked again later
     */
    boolean repeatAfterInactivity(Attempt inactive) {
        if (!isCurrent(inactive)) {
            return false;
        }
        if (replaceable.isPresent()) {
            return true;
        }
        triedServers.add(inactive.server().entry());
        // With admission control the repetition waits for another server.
        boolean hasServer = engine.admissionControl().isPresent() ? hasServer() : hasServerOtherThan(inactive.server());
        if (!hasServer || crashGuard.reasonToBlock().isPresent()) {
            return true;
        }
        if (!isRetryAllowed() || !engine.retryBudget(service).isAvailable()) {
            logRetry(SILENCE, false);
            return false;
        }
        replaceable = Optional.of(inactive);
        inactive.recordSilence();
        if (engine.admissionControl().isPresent()) {
            engine.admissionControl().get().request(this);
        } else if (beginSend(false)) {
            sendToBestServer();
        }
        return isCurrent(inactive);
    }

    /** Called when a complete, non-streamed response has arrived. */
    void onCompleteResponse(Attempt ending, int status, HttpHeaders headers, ByteBuf body) {
        if (!isCurrent(ending)) {
            body.release();
            return;
        }
        withdrawRepetition();
        crashGuard.onResponseCompleted(status);
        boolean failed = status >= 500;
        if (failed) {
            triedServers.addFailure(ending.server().entry());
        }
        // Passing on some statuses would tell the caller that the request has not been executed.
        boolean usable = !streamStarted && !impliesNotExecuted(status);
        boolean repeatable = failed && runs.mayRun();
        Optional<AttemptBackendSelector.Selection> next = repeatable && usable ? selectNow() : Optional.empty();
        if (next.isPresent() && mayRetry("status " + status)) {
            body.release();
            send(next.get());
        } else if (usable) {
            finish("answered", status);
            exchange.sendResponse(status, engine.headerCodec().callerResponseHeaders(headers), body);
        } else if (repeatable && hasServer() && mayRetry("status " + status)) {
            body.release();
            dispatch();
        } else {
            body.release();
            fail(RefusalReason.ANSWER_LOST);
        }
    }

    /** Called when the headers of a streamed response have arrived. */
    void onStreamStart(Attempt running, int status, HttpHeaders headers) {
        if (isCurrent(running) && !streamStarted) {
            streamStarted = true;
            exchange.startStream(status, engine.headerCodec().callerResponseHeaders(headers));
        }
    }

    /** Called when a streamed response has ended normally. */
    void onStreamEnd(Attempt ending) {
        if (isCurrent(ending)) {
            crashGuard.onResponseCompleted(STATUS_OK);
            finish("answered", STATUS_OK);
            exchange.endStream();
        }
    }

    private void sendEvent(ByteBuf event) {
        withdrawRepetition();
        exchange.sendChunk(event);
        if (!exchange.isWritable() && attempt != null) {
            attempt.setAutoRead(false);
        }
    }

    private boolean isCurrent(Attempt candidate) {
        return !ended && attempt == candidate;
    }

    // The response that has begun or arrived is not given up for a retry that no server may get.
    private boolean hasServer() {
        return selectBest().isPresent();
    }

    // Tried servers are selected only if there is no other.
    private boolean hasServerOtherThan(BackendServerState server) {
        return selectBest()
                .filter(selection -> !selection.server().equals(server))
                .isPresent();
    }

    /** Returns true if the request waits to be moved away from a server. */
    boolean isLeaving(BackendServerState server) {
        return replaceable.filter(inactive -> inactive.server().equals(server)).isPresent();
    }

    private boolean mayRetry(String reason) {
        return mayRetry(reason, RetryBudget::tryAcquire);
    }

    private boolean mayRetry(String reason, Predicate<RetryBudget> takeRetry) {
        boolean granted = isRetryAllowed() && takeRetry.test(engine.retryBudget(service));
        logRetry(reason, granted);
        return granted;
    }

    private boolean isRetryAllowed() {
        return runs.mayRun()
                && sendCount < route.maxAttempts()
                && timeLeftMillis() >= MIN_TIME_LEFT_MILLIS
                && mayStillBeSent();
    }

    private void logRetry(String reason, boolean granted) {
        engine.log().request("retry", metadata.attemptId().orElse(""), line -> line.with("reason", reason)
                .with("backend_id", attempt.server().entry().id())
                .with("sends", sendCount)
                .with("send_limit", route.maxAttempts())
                .with("time_left_ms", timeLeftMillis())
                .with("outcome", granted ? "granted" : "denied"));
    }

    private static boolean impliesNotExecuted(int status) {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    private void onDeadline() {
        fail(attempt != null ? RefusalReason.TIMED_OUT : RefusalReason.EXPIRED_UNSENT);
    }

    private void fail(RefusalReason reason) {
        fail(reason, retryAfterSeconds(reason));
    }

    private void fail(RefusalReason reason, double retryAfterSeconds) {
        if (ended) {
            return;
        }
        RefusalReason effectiveReason =
                runs.mayHaveExecuted() && impliesNotExecuted(reason.status()) ? RefusalReason.ANSWER_LOST : reason;
        finish(effectiveReason.name(), effectiveReason.status());
        if (attempt != null) {
            attempt.cancel();
        }
        if (streamStarted) {
            exchange.abort();
        } else {
            LocalReply.send(
                    exchange,
                    engine.headerCodec().localReplyHeaders(metadata),
                    effectiveReason,
                    effectiveReason == reason ? retryAfterSeconds : effectiveReason.retryAfterSeconds());
        }
    }

    private double retryAfterSeconds(RefusalReason reason) {
        return switch (reason) {
            case SERVERS_AT_REST -> engine.backendSelector().secondsUntilRestEnds(service, metadata);
            case SERVERS_COLD -> engine.backendSelector().secondsUntilColdServerUsable(service, metadata);
            default -> reason.retryAfterSeconds();
        };
    }

    @Override
    public void onCallerDisconnected() {
        if (!ended) {
            finish("caller_left", 0);
            if (attempt != null) {
                attempt.cancel();
            }
        }
    }

    @Override
    public void onWritabilityChanged() {
        if (attempt != null) {
            attempt.setAutoRead(exchange.isWritable());
        }
    }

    @Override
    public void onHostStopping() {
        boolean sent = attempt != null && attempt.isInProgress();
        fail(sent ? RefusalReason.ANSWER_LOST : RefusalReason.HOST_STOPPING);
    }

    @Override
    public OpenRequest describe(long arrivedAtMillis) {
        Optional<OpenRequest.Sent> sent = Optional.ofNullable(attempt)
                .filter(Attempt::isInProgress)
                .map(running -> new OpenRequest.Sent(running.server().entry().id(), running.sentAtMillis()));
        OpenRequest.State unanswered = sent.isPresent() ? OpenRequest.State.SENT : OpenRequest.State.WAITING;
        return new OpenRequest(
                streamStarted ? OpenRequest.State.RESPONSE_BEGUN : unanswered,
                metadata.attemptId().orElse(""),
                arrivedAtMillis,
                sent);
    }

    private void finish(String outcome, int status) {
        ended = true;
        deadlineTimer.cancel();
        engine.admissionControl().ifPresent(admission -> admission.withdraw(this));
        if (attempt != null) {
            recordSession(attempt.server());
        }
        engine.onRequestEnded();
        long elapsedMillis = engine.loop().nowMillis() - request.arrivedAtMillis();
        engine.metrics().counter("requests_total." + outcome).inc();
        engine.metrics()
                .timer("request_duration." + route.name())
                .update(elapsedMillis, java.util.concurrent.TimeUnit.MILLISECONDS);
        engine.log().request("ended", metadata.attemptId().orElse(""), line -> {
            line.with("route", route.name())
                    .with("service", service)
                    .with("status", status)
                    .with("elapsed_ms", elapsedMillis)
                    .with("sends", sendCount)
                    .with(
                            "configuration_revision",
                            engine.fleetView().configurationRevision().number())
                    .with("outcome", outcome);
            if (attempt != null) {
                line.with("backend_id", attempt.server().entry().id())
                        .with("backend_version", attempt.server().entry().version());
            }
        });
    }

    String service() {
        return service;
    }
}
