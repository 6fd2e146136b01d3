package io.heatherloft.router.request;

import io.heatherloft.domain.route.KeyHolder;
import io.heatherloft.domain.route.Route;
import io.heatherloft.domain.routing.RetryBudget;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.backend.ExchangeFailure;
import io.heatherloft.router.fleet.BackendServerState;
import io.heatherloft.router.http.CallerExchange;
import io.heatherloft.router.http.CallerRequest;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Predicate;

/**
 * One request of a caller, from its admission to its final answer.
 *
 * <p>Invariants: at most one attempt is in progress; a request that may run once is sent again only if no attempt can
 * have run it; an answer with a status that promises "not run" is given only if none has. Confined to the loop's
 * thread.
 */
final class RequestExecution implements CallerExchange.Listener {
    // Least time left for which sending a request is of use.
    private static final long LEAST_USEFUL_MILLIS = 5L;
    // Connections that may fail before the request is given up; none of them carried a byte of it.
    private static final int MAX_CONNECT_FAILURES = 3;
    // Time after which a caller without a deadline has gone.
    private static final long DEFAULT_DEADLINE_MILLIS = 30_000L;

    private final RequestEngine engine;
    private final CallerRequest request;
    private final CallerExchange exchange;
    private final RequestFacts facts;
    private final Route route;
    private final Optional<KeyHolder> holder;
    private final String service;
    private final long endMillis;
    private final TriedServers tried = new TriedServers();
    private final EventRelay relay;
    private final ModelChoice models;
    private final CrashGuard crashGuard;
    private Loop.Cancellation endTimer = () -> {};
    private Attempt attempt;
    private int sends;
    private int connectFailures;
    private boolean mayHaveRun;
    private boolean streamStarted;
    private boolean ended;

    RequestExecution(
            RequestEngine engine,
            CallerRequest request,
            CallerExchange exchange,
            RequestFacts facts,
            Route route,
            Optional<KeyHolder> holder) {
        this.engine = engine;
        this.request = request;
        this.exchange = exchange;
        this.facts = facts;
        this.route = route;
        this.holder = holder;
        String identity = facts.session().or(facts::attemptId).orElse("");
        this.service = route.serviceFor(io.heatherloft.domain.StableHash.of(route.name(), identity));
        this.endMillis = request.arrivedAtMillis()
                + Math.min(
                        facts.deadlineMillis().orElse(DEFAULT_DEADLINE_MILLIS),
                        route.timeoutMillis().orElse(Long.MAX_VALUE / 2));
        this.crashGuard = new CrashGuard(engine.loop(), engine.registry().crashSuspects(), request, holder);
        this.models = new ModelChoice(route.modelsBySize());
        this.relay = new EventRelay(facts.lastEventId(), this::sendEvent);
    }

    void start() {
        exchange.listen(this);
        endTimer = engine.loop().schedule(endMillis - engine.loop().nowMillis(), this::onTimeEnded);
        dispatch();
    }

    RequestEngine engine() {
        return engine;
    }

    CallerRequest request() {
        return request;
    }

    RequestFacts facts() {
        return facts;
    }

    Route route() {
        return route;
    }

    EventRelay relay() {
        return relay;
    }

    long timeLeftMillis() {
        return endMillis - engine.loop().nowMillis();
    }

    private void dispatch() {
        if (timeLeftMillis() < LEAST_USEFUL_MILLIS) {
            onTimeEnded();
            return;
        }
        if (crashGuard.isBlocked()) {
            giveUp(RefusalReason.CRASHES_SERVERS);
            return;
        }
        Optional<BackendServerState> chosen = engine.chooser().choose(service, facts, tried);
        if (chosen.isEmpty()) {
            giveUp(RefusalReason.NO_BACKEND);
            return;
        }
        BackendServerState server = chosen.get();
        recordSession(server);
        long unreadTokens = unreadTokens(server);
        facts.sharedPrompt().ifPresent(part -> server.rememberPrefix(part, facts.sharedTokens()));
        sends++;
        if (sends == 1) {
            engine.retryBudget(service).recordRequest();
        }
        attempt = new Attempt(this, server, sends, unreadTokens);
        attempt.send(new DispatchFacts(
                server.entry().id(),
                timeLeftMillis(),
                holder.map(KeyHolder::workspace),
                urgency(),
                models.current(),
                relay.lastId()));
    }

    // A session goes on from the end of its last request, so that is recorded as well as the dispatch.
    private void recordSession(BackendServerState server) {
        facts.session().ifPresent(session -> engine.versions()
                .sessions()
                .record(
                        service,
                        session,
                        server.entry().version(),
                        engine.loop().nowMillis()));
    }

    private long unreadTokens(BackendServerState server) {
        boolean cached = facts.sharedPrompt().map(server::remembersPrefix).orElse(false);
        return Math.max(0, facts.promptTokens() - (cached ? facts.sharedTokens() : 0));
    }

    private OptionalInt urgency() {
        return route.repeatPolicy().isStream()
                ? OptionalInt.of(holder.map(known -> known.priorityOn(route)).orElseGet(route::priority))
                : OptionalInt.empty();
    }

    /**
     * Decides on the answer that a model is about to give.
     *
     * @return false if the answer is dropped; a larger model then runs the request
     */
    boolean acceptsAnswer(Attempt running, OptionalInt confidence) {
        if (!isCurrent(running) || streamStarted || !models.hasLarger()) {
            return true;
        }
        boolean sufficient = models.isSufficient(confidence);
        engine.log().request("confidence", facts.attemptId().orElse(""), line -> line.with("route", route.name())
                .with("model", models.current().orElse(""))
                .with("prompt_tokens", facts.promptTokens())
                .with("expected_output_tokens", facts.expectedOutputTokens())
                .with("confidence", confidence.orElse(0))
                .with("outcome", sufficient ? "kept" : "larger"));
        if (sufficient || !mayRetry("confidence " + confidence.orElse(0), RetryBudget::tryAcquireOptional)) {
            return true;
        }
        running.cancel();
        mayHaveRun = true;
        models.takeLargest();
        dispatch();
        return false;
    }

    /** The attempt's server has stated that it has not run the request and will not. */
    void onNotRun(Attempt ending, String reason) {
        if (isCurrent(ending)) {
            tried.add(ending.server().entry());
            if (mayRetry(reason)) {
                dispatch();
            } else {
                giveUp(RefusalReason.NOT_ACCEPTED);
            }
        }
    }

    /** The attempt has ended without a complete answer. */
    void onFailure(Attempt ending, ExchangeFailure failure) {
        if (!isCurrent(ending)) {
            return;
        }
        tried.add(ending.server().entry());
        if (failure.kind() == ExchangeFailure.Kind.NOT_SENT) {
            crashGuard.onUnreachable(ending.server());
            sends--;
            connectFailures++;
            if (connectFailures <= MAX_CONNECT_FAILURES) {
                dispatch();
            } else {
                giveUp(RefusalReason.NOT_ACCEPTED);
            }
            return;
        }
        mayHaveRun = true;
        crashGuard.onBrokenOff(ending.server());
        relay.discardPartial();
        if (route.repeatPolicy().mayRepeat() && !relay.isDisordered() && mayRetry(failure.reason())) {
            dispatch();
        } else {
            giveUp(RefusalReason.ANSWER_LOST);
        }
    }

    /**
     * The attempt's server has sent nothing for a while.
     *
     * @return true if the request goes on elsewhere
     */
    boolean movesAfterSilence(Attempt silent) {
        if (!isCurrent(silent) || !mayRetry("silence")) {
            return false;
        }
        tried.add(silent.server().entry());
        mayHaveRun = true;
        relay.discardPartial();
        silent.cancel();
        dispatch();
        return true;
    }

    /** A whole answer has arrived. */
    void onWhole(Attempt ending, int status, HttpHeaders headers, ByteBuf body) {
        if (!isCurrent(ending)) {
            body.release();
            return;
        }
        mayHaveRun = true;
        crashGuard.onAnswered();
        boolean failed = status >= 500;
        if (failed) {
            tried.addFailure(ending.server().entry());
        }
        if (failed && route.repeatPolicy().mayRepeat() && mayRetry("status " + status)) {
            body.release();
            dispatch();
        } else if (streamStarted || promisesNotRun(status)) {
            // The caller would take the server's status for a promise that the request has not run.
            body.release();
            giveUp(RefusalReason.ANSWER_LOST);
        } else {
            finish("answered", status);
            exchange.sendWhole(status, engine.dialect().answerHeaders(headers), body);
        }
    }

    /** The header of a stream has arrived. */
    void onStreamHead(Attempt running, int status, HttpHeaders headers) {
        if (isCurrent(running) && !streamStarted) {
            streamStarted = true;
            exchange.startStream(status, engine.dialect().answerHeaders(headers));
        }
    }

    /** The stream has ended as complete. */
    void onStreamEnd(Attempt ending) {
        if (isCurrent(ending)) {
            crashGuard.onAnswered();
            finish("answered", 200);
            exchange.endStream();
        }
    }

    private void sendEvent(ByteBuf event) {
        exchange.sendPart(event);
        if (!exchange.isWritable() && attempt != null) {
            attempt.setReading(false);
        }
    }

    private boolean isCurrent(Attempt candidate) {
        return !ended && attempt == candidate;
    }

    private boolean mayRetry(String reason) {
        return mayRetry(reason, RetryBudget::tryAcquire);
    }

    private boolean mayRetry(String reason, Predicate<RetryBudget> allowance) {
        boolean granted = sends < route.maxAttempts()
                && timeLeftMillis() >= LEAST_USEFUL_MILLIS
                && allowance.test(engine.retryBudget(service));
        engine.log().request("retry", facts.attemptId().orElse(""), line -> line.with("reason", reason)
                .with("backend_id", attempt.server().entry().id())
                .with("sends", sends)
                .with("send_limit", route.maxAttempts())
                .with("time_left_ms", timeLeftMillis())
                .with("outcome", granted ? "granted" : "denied"));
        return granted;
    }

    private static boolean promisesNotRun(int status) {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    private void onTimeEnded() {
        giveUp(mayHaveRun || attempt != null ? RefusalReason.TIMED_OUT : RefusalReason.EXPIRED_UNSENT);
    }

    private void giveUp(RefusalReason reason) {
        if (ended) {
            return;
        }
        RefusalReason truthful = mayHaveRun && promisesNotRun(reason.status()) ? RefusalReason.ANSWER_LOST : reason;
        finish(truthful.name(), truthful.status());
        if (attempt != null) {
            attempt.cancel();
        }
        if (streamStarted) {
            exchange.breakOff();
        } else {
            CallerReply.refuse(exchange, engine.dialect().ownHeaders(facts), truthful, truthful.retryAfterSeconds());
        }
    }

    @Override
    public void onCallerLeft() {
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
            attempt.setReading(exchange.isWritable());
        }
    }

    private void finish(String outcome, int status) {
        ended = true;
        endTimer.cancel();
        if (attempt != null) {
            recordSession(attempt.server());
        }
        engine.onEnded();
        long elapsedMillis = engine.loop().nowMillis() - request.arrivedAtMillis();
        engine.metrics().counter("requests_total." + outcome).inc();
        engine.metrics()
                .timer("request_duration." + route.name())
                .update(elapsedMillis, java.util.concurrent.TimeUnit.MILLISECONDS);
        engine.log().request("ended", facts.attemptId().orElse(""), line -> {
            line.with("route", route.name())
                    .with("service", service)
                    .with("status", status)
                    .with("elapsed_ms", elapsedMillis)
                    .with("sends", sends)
                    .with("configuration_revision", engine.knowledge().configurationRevision())
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
