package io.heatherloft.daemon.request;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.heatherloft.daemon.backend.NoCapacityException;
import io.heatherloft.daemon.backend.Slot;
import io.heatherloft.daemon.backend.SlotRequest;
import io.heatherloft.domain.configuration.Model;
import io.heatherloft.domain.configuration.VersionReference;
import io.heatherloft.domain.ledger.Bill;
import io.heatherloft.domain.ledger.LedgerRecord;
import io.heatherloft.domain.ledger.RequestKey;
import io.heatherloft.domain.routing.BackendServer;
import io.heatherloft.domain.routing.CrashPolicy;
import io.heatherloft.domain.routing.DispatchRules;
import io.heatherloft.ports.backend.BackendFailure;
import io.heatherloft.ports.loop.Futures;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Carries one chat completion from admission to its settled end.
 *
 * <p>Invariants: {@code not-run} is said only while nothing was sent; the caller receives the end of an answer only
 * when its bill is safe; the dispatch rules are asked again after every wait; every attempt that used tokens is a line
 * of the one bill. Confined to the loop's thread.
 */
final class ChatRequestHandler {
    private static final int MAX_ATTEMPTS_PER_STEP = 4;
    private static final long SETTLE_RETRY_MILLIS = 250L;
    private static final long TRIAL_RETRY_MILLIS = 100L;

    private final RequestDependencies dependencies;
    private final RequestContext context;
    private final ChatRequest request;
    private final ChatRoute route;
    private final ChatResponseWriter response;
    private final String fingerprint;
    private final String trialHolder;
    private final long deadlineMillis;
    private final List<Bill.Line> billLines = new ArrayList<>();
    private final Map<VersionReference, Model.TokenPrice> prices = new HashMap<>();
    private final Set<String> avoidedServers = new HashSet<>();
    private Optional<ModelAttempt> runningAttempt = Optional.empty();
    private Optional<StepAnswer> fallbackAnswer = Optional.empty();
    private VersionReference runningVersion;
    private int step;
    private int attempts;
    private boolean trialReserved;
    private boolean sent;
    private boolean ended;

    ChatRequestHandler(
            RequestDependencies services,
            RequestContext context,
            ChatRequest request,
            ChatRoute route,
            CallerChannel channel) {
        this.dependencies = services;
        this.context = context;
        this.request = request;
        this.route = route;
        this.response = new ChatResponseWriter(context, request, channel);
        this.fingerprint = request.fingerprint(context.workspace().name());
        this.trialHolder =
                context.requestId() + "/" + services.fleet().members().self().incarnationName() + "/" + services.nowMillis();
        this.deadlineMillis = services.nowMillis() + route.deadlineMillis();
        this.step = route.plan().firstStep();
        channel.onDisconnect(this::onCallerDisconnect);
    }

    void run() {
        explain(
                "plan",
                "steps " + route.models() + " from " + step + ", accepts "
                        + route.plan().acceptAtLeast());
        bindVersion();
    }

    private void bindVersion() {
        String model = route.models().get(step);
        Futures.onResult(
                dependencies.sessions().bind(context.workspace(), model, context.sessionId(), context.requestId()),
                binding -> {
                    explain("version", binding.version() + " " + binding.reason());
                    binding.version()
                            .ifPresentOrElse(this::acquire, () -> failOrFallBack(ChatProblems.ofBinding(binding, runStatus())));
                });
    }

    private void acquire(VersionReference version) {
        if (ended) {
            return;
        }
        CrashPolicy.RequestStatus standing = dependencies.fleet().crashPolicy().statusOf(fingerprint);
        if (standing == CrashPolicy.RequestStatus.QUARANTINED) {
            dependencies.counters().count("requests.quarantined");
            failOrFallBack(Problem.of(
                    ProblemType.QUARANTINED,
                    RunStatus.UNKNOWN,
                    "the request was in progress on several backend servers when they were lost"));
            return;
        }
        if (standing == CrashPolicy.RequestStatus.SUSPECT && !trialReserved) {
            reserveThenAcquire(version);
            return;
        }
        Optional<Model.Version> declared =
                dependencies.fleet().configuration().configuration().version(version);
        if (declared.isEmpty()) {
            failOrFallBack(Problem.of(ProblemType.NO_VERSION, runStatus(), version + " is no longer declared"));
            return;
        }
        prices.put(version, declared.get().price());
        List<String> usable = dependencies.backends().usableServers(declared.get().pool()).stream()
                .map(BackendServer::address)
                .toList();
        if (avoidedServers.containsAll(usable)) {
            avoidedServers.clear();
        }
        Set<String> excluded = new HashSet<>(avoidedServers);
        excluded.addAll(dependencies.fleet().crashPolicy().lostBackends(fingerprint));
        SlotRequest slotRequest = new SlotRequest(
                context.workspace(),
                declared.get().pool(),
                route.priority(),
                request.prefixHash(),
                Set.copyOf(excluded),
                standing == CrashPolicy.RequestStatus.SUSPECT,
                deadlineMillis);
        Futures.onComplete(dependencies.backends().acquire(slotRequest), (slot, failure) -> {
            if (failure instanceof NoCapacityException noCapacity) {
                failOrFallBack(ChatProblems.ofCapacity(noCapacity, runStatus()));
            } else if (failure == null && standing == CrashPolicy.RequestStatus.SUSPECT) {
                reserveThenDispatch(version, slot);
            } else if (failure == null) {
                dispatch(version, slot);
            }
        });
    }

    private void reserveThenAcquire(VersionReference version) {
        Futures.onResult(dependencies.trials().reserve(fingerprint, trialHolder), granted -> {
            if (granted) {
                trialReserved = true;
                acquire(version);
            } else {
                retryTrialLater(version);
            }
        });
    }

    private void reserveThenDispatch(VersionReference version, Slot slot) {
        String server = slot.server().address();
        Futures.onResult(dependencies.trials().reserve(server, trialHolder), granted -> {
            if (granted) {
                slot.onRelease(() -> {
                    dependencies.trials().release(server, trialHolder);
                    releaseTrial();
                });
                dispatch(version, slot);
            } else {
                slot.release();
                releaseTrial();
                retryTrialLater(version);
            }
        });
    }

    private void releaseTrial() {
        if (trialReserved) {
            trialReserved = false;
            dependencies.trials().release(fingerprint, trialHolder);
        }
    }

    private void retryTrialLater(VersionReference version) {
        long pause = TRIAL_RETRY_MILLIS + dependencies.ports().random().nextInt((int) TRIAL_RETRY_MILLIS);
        dependencies.ports().loop().schedule(pause, () -> retryTrial(version));
    }

    private void retryTrial(VersionReference version) {
        if (dependencies.nowMillis() >= deadlineMillis) {
            failOrFallBack(Problem.of(ProblemType.TIMEOUT, runStatus(), "no backend server was free for a trial in time"));
        } else {
            recheckThenAcquire(version);
        }
    }

    // Configuration, quarantines and crash facts may have changed while the request waited for its place.
    private void dispatch(VersionReference version, Slot slot) {
        if (ended) {
            slot.release();
            return;
        }
        Optional<DispatchRules.Refusal> refusal =
                dependencies.fleet().dispatchRules().refusalOf(context.workspace().name(), version);
        boolean quarantined =
                dependencies.fleet().crashPolicy().statusOf(fingerprint) == CrashPolicy.RequestStatus.QUARANTINED;
        if (refusal.isPresent() || quarantined) {
            slot.release();
            explain("recheck", version + " " + refusal);
            rebind(version + " may no longer be used");
            return;
        }
        attempts++;
        sent = true;
        explain("dispatch", version + " on " + slot.server().address());
        ModelAttempt attempt =
                new ModelAttempt(dependencies.ports().loop(), request, slot, canEscalate(), new AttemptListener(version));
        runningAttempt = Optional.of(attempt);
        runningVersion = version;
        attempt.send(dependencies.ports().backends(), version.toString(), response.partialText());
    }

    // A stream that has begun cannot go on with another version.
    private void rebind(String reason) {
        if (response.hasStarted()) {
            failOrFallBack(Problem.of(ProblemType.BACKEND_FAILED, RunStatus.UNKNOWN, reason));
        } else {
            bindVersion();
        }
    }

    private void retry(VersionReference version, String reason, long pauseMillis) {
        boolean allowed =
                attempts < MAX_ATTEMPTS_PER_STEP && dependencies.retryBudget().tryAcquire();
        if (!allowed) {
            failOrFallBack(new Problem(ProblemType.BACKEND_FAILED, RunStatus.UNKNOWN, reason, 0));
            return;
        }
        dependencies.counters().count("requests.retries");
        explain("retry", reason);
        dependencies.ports().loop().schedule(pauseMillis, () -> recheckThenAcquire(version));
    }

    // A stream that has begun must go on with its version; anything else may take another.
    private void recheckThenAcquire(VersionReference version) {
        if (response.hasStarted()) {
            acquire(version);
        } else {
            bindVersion();
        }
    }

    private void onStepComplete(VersionReference version, ModelAttempt.Completed completed, ModelAttempt attempt) {
        runningAttempt = Optional.empty();
        attempts = 0;
        dependencies.retryBudget().recordSuccess();
        addBillLine(version, attempt, completed.usage());
        dependencies.planner()
                .recordAnswer(
                        route.planKey(),
                        step,
                        billLines.get(billLines.size() - 1).costMicros(),
                        dependencies.nowMillis() - attempt.sentAtMillis());
        explain("answer", version + " status " + completed.status());
        StepAnswer stepAnswer = new StepAnswer(version, completed);
        fallbackAnswer = Optional.of(stepAnswer);
        boolean judged = completed.isSuccess() && canEscalate();
        if (!judged) {
            sampleRating(stepAnswer);
            settleAndFinish(stepAnswer);
            return;
        }
        CompletableFuture<Double> rating = dependencies.ratings().rate(version, request.prompt(), completed.text());
        Futures.onComplete(rating, (score, failure) -> {
            if (failure == null) {
                dependencies.planner().recordRating(route.planKey(), step, score);
            }
            acceptOrEscalate(stepAnswer, failure == null ? score : 0.0);
        });
    }

    private void acceptOrEscalate(StepAnswer stepAnswer, double score) {
        boolean accepted = score >= route.plan().acceptAtLeast().orElse(0);
        explain("rating", stepAnswer.version() + " " + score + (accepted ? " accepted" : " escalates"));
        if (accepted || ended) {
            settleAndFinish(stepAnswer);
        } else {
            dependencies.counters().count("cascade.escalations");
            step++;
            bindVersion();
        }
    }

    private boolean canEscalate() {
        return route.plan().acceptAtLeast().isPresent()
                && step + 1 < route.models().size();
    }

    private void sampleRating(StepAnswer stepAnswer) {
        boolean wanted = route.plan().sampled() || dependencies.rolloutWatch().shouldRate(stepAnswer.version());
        if (wanted && stepAnswer.completed().isSuccess()) {
            int ratedStep = step;
            dependencies.ratings()
                    .sample(
                            stepAnswer.version(),
                            request.prompt(),
                            stepAnswer.completed().text(),
                            score -> dependencies.planner().recordRating(route.planKey(), ratedStep, score));
        }
    }

    private void addBillLine(VersionReference version, ModelAttempt attempt, Optional<TokenUsage> usage) {
        long resumed = response.resumedTokens();
        TokenUsage used = usage.map(told ->
                        new TokenUsage(Math.max(0, told.inputTokens() - resumed), told.outputTokens() + resumed))
                .orElseGet(() -> new TokenUsage(request.estimatedInputTokens(), attempt.outputEvents() + resumed));
        billLines.add(new Bill.Line(
                version.toString(),
                attempt.backendServer(),
                used.inputTokens(),
                used.outputTokens(),
                prices.get(version).costMicros(used.inputTokens(), used.outputTokens())));
    }

    private void settleAndFinish(StepAnswer stepAnswer) {
        settle(() -> {
            context.explanation().end("answered", new Bill(billLines));
            response.finish(stepAnswer);
        });
    }

    private void settle(Runnable whenSafe) {
        ended = true;
        if (billLines.isEmpty()) {
            whenSafe.run();
            return;
        }
        RequestKey key = new RequestKey(
                context.workspace().name(),
                RequestKey.Kind.IDEMPOTENT,
                context.requestId() + ":" + Long.toHexString(request.bodyDigest()));
        LedgerRecord.Settlement settlement = new LedgerRecord.Settlement(
                key, Optional.empty(), new Bill(List.copyOf(billLines)), Optional.empty(), dependencies.nowMillis());
        settleWithRetry(settlement, whenSafe);
    }

    private void settleWithRetry(LedgerRecord.Settlement settlement, Runnable whenSafe) {
        Futures.onResult(dependencies.ledger().settle(settlement), safe -> {
            if (safe) {
                explain("settled", "bill is safe");
                whenSafe.run();
            } else {
                dependencies.ports().loop().schedule(SETTLE_RETRY_MILLIS, () -> settleWithRetry(settlement, whenSafe));
            }
        });
    }

    private void failOrFallBack(Problem problem) {
        if (ended) {
            return;
        }
        releaseTrial();
        if (fallbackAnswer.isPresent() && !response.hasStarted()) {
            explain("fallback", problem.detail());
            settleAndFinish(fallbackAnswer.get());
            return;
        }
        explain("gave up", problem.detail());
        dependencies.counters().count("requests.refused." + problem.type().slug());
        settle(() -> {
            context.explanation().end(problem.type().slug(), new Bill(billLines));
            response.fail(problem);
        });
    }

    private void onCallerDisconnect() {
        if (ended) {
            return;
        }
        explain("caller gone", "");
        dependencies.counters().count("requests.caller-gone");
        runningAttempt.ifPresent(attempt -> {
            attempt.cancel();
            if (attempt.outputEvents() > 0) {
                addBillLine(runningVersion, attempt, Optional.empty());
            }
        });
        settle(() -> context.explanation().end("caller gone", new Bill(billLines)));
    }

    private RunStatus runStatus() {
        return sent ? RunStatus.UNKNOWN : RunStatus.NOT_RUN;
    }

    private void explain(String what, String detail) {
        context.explanation().add(dependencies.nowMillis(), what, detail);
    }

    /** An answer of one step of the cascade. */
    record StepAnswer(VersionReference version, ModelAttempt.Completed completed) {}

    private final class AttemptListener implements ModelAttempt.Listener {
        private final VersionReference version;

        AttemptListener(VersionReference version) {
            this.version = version;
        }

        @Override
        public CompletableFuture<Void> onEvent(String data, ObjectNode event) {
            return response.forward(version, data, event);
        }

        @Override
        public void onComplete(ModelAttempt.Completed completed) {
            ModelAttempt attempt = runningAttempt.orElseThrow();
            if (ChatProblems.isRetryable(completed.status())) {
                runningAttempt = Optional.empty();
                avoidedServers.add(attempt.backendServer());
                retry(version, "backend server answered " + completed.status(), 0);
            } else {
                onStepComplete(version, completed, attempt);
            }
        }

        @Override
        public void onLeaving(BackendServer server) {
            runningAttempt = Optional.empty();
            sent = !billLines.isEmpty() || attempts > 1;
            attempts--;
            dependencies.backends().recordLeaving(server);
            recheckThenAcquire(version);
        }

        @Override
        public void onFailure(BackendServer server, BackendFailure failure) {
            ModelAttempt attempt = runningAttempt.orElseThrow();
            runningAttempt = Optional.empty();
            avoidedServers.add(server.address());
            response.recordForResumption(attempt);
            if (failure.kind() == BackendFailure.Kind.NOT_SENT) {
                sent = !billLines.isEmpty() || attempts > 1;
                attempts--;
                recheckThenAcquire(version);
                return;
            }
            dependencies.recordCrash(fingerprint, server);
            retry(version, server.address() + ": " + failure.detail(), CrashPolicy.SUSPECT_DELAY_MILLIS);
        }
    }
}
