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
final class ChatFlow {
    private static final int MAX_ATTEMPTS_PER_STEP = 4;
    private static final long SETTLE_RETRY_MILLIS = 250L;
    private static final long TRIAL_RETRY_MILLIS = 100L;

    private final RequestDependencies services;
    private final RequestContext context;
    private final ChatRequest request;
    private final ChatRoute route;
    private final ChatAnswer answer;
    private final String fingerprint;
    private final String trialHolder;
    private final long deadlineMillis;
    private final List<Bill.Line> lines = new ArrayList<>();
    private final Map<VersionReference, Model.TokenPrice> prices = new HashMap<>();
    private final Set<String> avoided = new HashSet<>();
    private Optional<ModelAttempt> running = Optional.empty();
    private Optional<StepAnswer> best = Optional.empty();
    private VersionReference runningVersion;
    private int step;
    private int attempts;
    private boolean trialReserved;
    private boolean sent;
    private boolean ended;

    ChatFlow(
            RequestDependencies services,
            RequestContext context,
            ChatRequest request,
            ChatRoute route,
            CallerChannel channel) {
        this.services = services;
        this.context = context;
        this.request = request;
        this.route = route;
        this.answer = new ChatAnswer(context, request, channel);
        this.fingerprint = request.fingerprint(context.workspace().name());
        this.trialHolder =
                context.requestId() + "/" + services.fleet().members().self().incarnationName() + "/" + services.now();
        this.deadlineMillis = services.now() + route.deadlineMillis();
        this.step = route.plan().firstStep();
        channel.onDisconnect(this::onCallerGone);
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
                services.sessions().bind(context.workspace(), model, context.sessionId(), context.requestId()),
                binding -> {
                    explain("version", binding.version() + " " + binding.reason());
                    binding.version()
                            .ifPresentOrElse(this::acquire, () -> giveUp(ChatProblems.ofBinding(binding, runStatus())));
                });
    }

    private void acquire(VersionReference version) {
        if (ended) {
            return;
        }
        CrashPolicy.RequestStatus standing = services.fleet().crashRules().statusOf(fingerprint);
        if (standing == CrashPolicy.RequestStatus.QUARANTINED) {
            services.counters().count("requests.quarantined");
            giveUp(Problem.of(
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
                services.fleet().configuration().configuration().version(version);
        if (declared.isEmpty()) {
            giveUp(Problem.of(ProblemType.NO_VERSION, runStatus(), version + " is no longer declared"));
            return;
        }
        prices.put(version, declared.get().price());
        List<String> usable = services.backends().usableServers(declared.get().pool()).stream()
                .map(BackendServer::address)
                .toList();
        if (avoided.containsAll(usable)) {
            avoided.clear();
        }
        Set<String> excluded = new HashSet<>(avoided);
        excluded.addAll(services.fleet().crashRules().lostBackends(fingerprint));
        SlotRequest slotRequest = new SlotRequest(
                context.workspace(),
                declared.get().pool(),
                route.priority(),
                request.prefixHash(),
                Set.copyOf(excluded),
                standing == CrashPolicy.RequestStatus.SUSPECT,
                deadlineMillis);
        Futures.onComplete(services.backends().acquire(slotRequest), (slot, failure) -> {
            if (failure instanceof NoCapacityException noCapacity) {
                giveUp(ChatProblems.ofCapacity(noCapacity, runStatus()));
            } else if (failure == null && standing == CrashPolicy.RequestStatus.SUSPECT) {
                reserveThenDispatch(version, slot);
            } else if (failure == null) {
                dispatch(version, slot);
            }
        });
    }

    private void reserveThenAcquire(VersionReference version) {
        Futures.onResult(services.trials().reserve(fingerprint, trialHolder), granted -> {
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
        Futures.onResult(services.trials().reserve(server, trialHolder), granted -> {
            if (granted) {
                slot.onGivenBack(() -> {
                    services.trials().release(server, trialHolder);
                    releaseTrial();
                });
                dispatch(version, slot);
            } else {
                slot.giveBack();
                releaseTrial();
                retryTrialLater(version);
            }
        });
    }

    private void releaseTrial() {
        if (trialReserved) {
            trialReserved = false;
            services.trials().release(fingerprint, trialHolder);
        }
    }

    private void retryTrialLater(VersionReference version) {
        long pause = TRIAL_RETRY_MILLIS + services.ports().random().nextInt((int) TRIAL_RETRY_MILLIS);
        services.ports().loop().schedule(pause, () -> retryTrial(version));
    }

    private void retryTrial(VersionReference version) {
        if (services.now() >= deadlineMillis) {
            giveUp(Problem.of(ProblemType.TIMEOUT, runStatus(), "no backend server was free for a trial in time"));
        } else {
            recheckThenAcquire(version);
        }
    }

    // Configuration, quarantines and crash facts may have changed while the request waited for its place.
    private void dispatch(VersionReference version, Slot slot) {
        if (ended) {
            slot.giveBack();
            return;
        }
        Optional<DispatchRules.Refusal> refusal =
                services.fleet().dispatchRules().refusalOf(context.workspace().name(), version);
        boolean quarantined =
                services.fleet().crashRules().statusOf(fingerprint) == CrashPolicy.RequestStatus.QUARANTINED;
        if (refusal.isPresent() || quarantined) {
            slot.giveBack();
            explain("recheck", version + " " + refusal);
            rebind(version + " may no longer be used");
            return;
        }
        attempts++;
        sent = true;
        explain("dispatch", version + " on " + slot.server().address());
        ModelAttempt attempt =
                new ModelAttempt(services.ports().loop(), request, slot, isGated(), new AttemptListener(version));
        running = Optional.of(attempt);
        runningVersion = version;
        attempt.send(services.ports().backends(), version.toString(), answer.textSoFar());
    }

    // A stream that has begun cannot go on with another version.
    private void rebind(String reason) {
        if (answer.hasBegun()) {
            giveUp(Problem.of(ProblemType.BACKEND_FAILED, RunStatus.UNKNOWN, reason));
        } else {
            bindVersion();
        }
    }

    private void retry(VersionReference version, String reason, long pauseMillis) {
        boolean allowed =
                attempts < MAX_ATTEMPTS_PER_STEP && services.retryBudget().tryAcquire();
        if (!allowed) {
            giveUp(new Problem(ProblemType.BACKEND_FAILED, RunStatus.UNKNOWN, reason, 0));
            return;
        }
        services.counters().count("requests.retries");
        explain("retry", reason);
        services.ports().loop().schedule(pauseMillis, () -> recheckThenAcquire(version));
    }

    // A stream that has begun must go on with its version; anything else may take another.
    private void recheckThenAcquire(VersionReference version) {
        if (answer.hasBegun()) {
            acquire(version);
        } else {
            bindVersion();
        }
    }

    private void onStepComplete(VersionReference version, ModelAttempt.Completed completed, ModelAttempt attempt) {
        running = Optional.empty();
        attempts = 0;
        services.retryBudget().recordSuccess();
        addLine(version, attempt, completed.usage());
        services.planner()
                .recordAnswer(
                        route.planKey(),
                        step,
                        lines.get(lines.size() - 1).costMicros(),
                        services.now() - attempt.sentAtMillis());
        explain("answer", version + " status " + completed.status());
        StepAnswer stepAnswer = new StepAnswer(version, completed);
        best = Optional.of(stepAnswer);
        boolean judged = completed.isSuccess() && isGated();
        if (!judged) {
            sampleRating(stepAnswer);
            settleAndFinish(stepAnswer);
            return;
        }
        CompletableFuture<Double> rating = services.ratings().rate(version, request.prompt(), completed.text());
        Futures.onComplete(rating, (score, failure) -> {
            if (failure == null) {
                services.planner().recordRating(route.planKey(), step, score);
            }
            judge(stepAnswer, failure == null ? score : 0.0);
        });
    }

    private void judge(StepAnswer stepAnswer, double score) {
        boolean accepted = score >= route.plan().acceptAtLeast().orElse(0);
        explain("rating", stepAnswer.version() + " " + score + (accepted ? " accepted" : " escalates"));
        if (accepted || ended) {
            settleAndFinish(stepAnswer);
        } else {
            services.counters().count("cascade.escalations");
            step++;
            bindVersion();
        }
    }

    private boolean isGated() {
        return route.plan().acceptAtLeast().isPresent()
                && step + 1 < route.models().size();
    }

    private void sampleRating(StepAnswer stepAnswer) {
        boolean wanted = route.plan().sampled() || services.rolloutWatch().wantsRatingOf(stepAnswer.version());
        if (wanted && stepAnswer.completed().isSuccess()) {
            int ratedStep = step;
            services.ratings()
                    .sample(
                            stepAnswer.version(),
                            request.prompt(),
                            stepAnswer.completed().text(),
                            score -> services.planner().recordRating(route.planKey(), ratedStep, score));
        }
    }

    private void addLine(VersionReference version, ModelAttempt attempt, Optional<TokenUsage> usage) {
        long resumed = answer.resumedTokens();
        TokenUsage used = usage.map(told ->
                        new TokenUsage(Math.max(0, told.inputTokens() - resumed), told.outputTokens() + resumed))
                .orElseGet(() -> new TokenUsage(request.estimatedInputTokens(), attempt.outputEvents() + resumed));
        lines.add(new Bill.Line(
                version.toString(),
                attempt.backendServer(),
                used.inputTokens(),
                used.outputTokens(),
                prices.get(version).costMicros(used.inputTokens(), used.outputTokens())));
    }

    private void settleAndFinish(StepAnswer stepAnswer) {
        settle(() -> {
            context.explanation().end("answered", new Bill(lines));
            answer.finish(stepAnswer);
        });
    }

    private void settle(Runnable whenSafe) {
        ended = true;
        if (lines.isEmpty()) {
            whenSafe.run();
            return;
        }
        RequestKey key = new RequestKey(
                context.workspace().name(),
                RequestKey.Kind.IDEMPOTENT,
                context.requestId() + ":" + Long.toHexString(request.bodyDigest()));
        LedgerRecord.Settlement settlement = new LedgerRecord.Settlement(
                key, Optional.empty(), new Bill(List.copyOf(lines)), Optional.empty(), services.now());
        settleUntilSafe(settlement, whenSafe);
    }

    private void settleUntilSafe(LedgerRecord.Settlement settlement, Runnable whenSafe) {
        Futures.onResult(services.ledger().settle(settlement), safe -> {
            if (safe) {
                explain("settled", "bill is safe");
                whenSafe.run();
            } else {
                services.ports().loop().schedule(SETTLE_RETRY_MILLIS, () -> settleUntilSafe(settlement, whenSafe));
            }
        });
    }

    private void giveUp(Problem problem) {
        if (ended) {
            return;
        }
        releaseTrial();
        if (best.isPresent() && !answer.hasBegun()) {
            explain("fallback", problem.detail());
            settleAndFinish(best.get());
            return;
        }
        explain("gave up", problem.detail());
        services.counters().count("requests.refused." + problem.type().slug());
        settle(() -> {
            context.explanation().end(problem.type().slug(), new Bill(lines));
            answer.fail(problem);
        });
    }

    private void onCallerGone() {
        if (ended) {
            return;
        }
        explain("caller gone", "");
        services.counters().count("requests.caller-gone");
        running.ifPresent(attempt -> {
            attempt.cancel();
            if (attempt.outputEvents() > 0) {
                addLine(runningVersion, attempt, Optional.empty());
            }
        });
        settle(() -> context.explanation().end("caller gone", new Bill(lines)));
    }

    private RunStatus runStatus() {
        return sent ? RunStatus.UNKNOWN : RunStatus.NOT_RUN;
    }

    private void explain(String what, String detail) {
        context.explanation().add(services.now(), what, detail);
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
            return answer.passOn(version, data, event);
        }

        @Override
        public void onComplete(ModelAttempt.Completed completed) {
            ModelAttempt attempt = running.orElseThrow();
            if (ChatProblems.isRetryable(completed.status())) {
                running = Optional.empty();
                avoided.add(attempt.backendServer());
                retry(version, "backend server answered " + completed.status(), 0);
            } else {
                onStepComplete(version, completed, attempt);
            }
        }

        @Override
        public void onLeaving(BackendServer server) {
            running = Optional.empty();
            sent = !lines.isEmpty() || attempts > 1;
            attempts--;
            services.backends().recordLeaving(server);
            recheckThenAcquire(version);
        }

        @Override
        public void onFailure(BackendServer server, BackendFailure failure) {
            ModelAttempt attempt = running.orElseThrow();
            running = Optional.empty();
            avoided.add(server.address());
            answer.keepForResumption(attempt);
            if (failure.kind() == BackendFailure.Kind.NOT_SENT) {
                sent = !lines.isEmpty() || attempts > 1;
                attempts--;
                recheckThenAcquire(version);
                return;
            }
            services.recordCrash(fingerprint, server);
            retry(version, server.address() + ": " + failure.detail(), CrashPolicy.SUSPECT_DELAY_MILLIS);
        }
    }
}
