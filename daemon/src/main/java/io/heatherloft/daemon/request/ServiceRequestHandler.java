package io.heatherloft.daemon.request;

import io.heatherloft.daemon.backend.NoCapacityException;
import io.heatherloft.daemon.backend.Slot;
import io.heatherloft.daemon.backend.SlotRequest;
import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.configuration.PlainService;
import io.heatherloft.domain.ledger.Bill;
import io.heatherloft.domain.ledger.ClaimToken;
import io.heatherloft.domain.ledger.LedgerRecord;
import io.heatherloft.domain.ledger.LedgerReply;
import io.heatherloft.domain.ledger.RecordedAnswer;
import io.heatherloft.domain.ledger.RequestKey;
import io.heatherloft.ports.backend.BackendFailure;
import io.heatherloft.ports.loop.Futures;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Carries one call of a plain service from admission to its settled end.
 *
 * <p>Invariants of a call that may not be repeated: it is sent only while this flow holds a durable claim; it is sent
 * again only if no connection was made or the backend server refused it as leaving; its outcome is durable, or held on
 * two hosts, before the caller sees it. Confined to the loop's thread.
 */
final class ServiceRequestHandler {
    private static final int MAX_ATTEMPTS = 4;
    private static final long CLAIM_TIMEOUT_MILLIS = 2_500L;
    private static final long RETRY_AFTER_MILLIS = 2_000L;

    private final RequestDependencies dependencies;
    private final RequestContext context;
    private final ServiceCall call;
    private final CallerChannel channel;
    private final RequestKey key;
    private final long deadlineMillis;
    private final Set<String> avoidedServers = new HashSet<>();
    private Optional<ClaimToken> claim = Optional.empty();
    private int attempts;
    private boolean sent;
    private boolean ended;

    ServiceRequestHandler(RequestDependencies services, RequestContext context, ServiceCall call, CallerChannel channel) {
        this.dependencies = services;
        this.context = context;
        this.call = call;
        this.channel = channel;
        this.key = new RequestKey(
                context.workspace().name(),
                call.isIdempotent() ? RequestKey.Kind.IDEMPOTENT : RequestKey.Kind.AT_MOST_ONCE,
                call.isIdempotent()
                        ? context.requestId() + ":" + Long.toHexString(call.digest())
                        : call.service().name() + ":" + context.requestId());
        this.deadlineMillis = services.nowMillis() + call.service().timeoutMillis();
    }

    void run() {
        if (call.isIdempotent()) {
            acquire();
            return;
        }
        PlainService service = call.service();
        if (dependencies.backends().usableServers(service.pool()).isEmpty()) {
            fail(new Problem(
                    ProblemType.UNAVAILABLE,
                    RunStatus.NOT_RUN,
                    "no backend server of " + service.name(),
                    RETRY_AFTER_MILLIS));
            return;
        }
        claimThenAcquire();
    }

    private void claimThenAcquire() {
        ClaimToken token = dependencies.nextClaimToken();
        LedgerRecord.Claim record = new LedgerRecord.Claim(key, token, call.digest(), dependencies.nowMillis());
        Futures.onResult(dependencies.ledger().submit(record, CLAIM_TIMEOUT_MILLIS), reply -> {
            explain("claim", reply.getClass().getSimpleName());
            if (reply instanceof LedgerReply.Granted) {
                claim = Optional.of(token);
                acquire();
            } else if (reply instanceof LedgerReply.AlreadyAnswered answered) {
                replay(answered.answer());
            } else if (reply instanceof LedgerReply.Mismatch) {
                fail(Problem.of(ProblemType.REQUEST_ID_REUSED, RunStatus.NOT_RUN, "the id belongs to another request"));
            } else if (reply instanceof LedgerReply.InProgress) {
                fail(new Problem(
                        ProblemType.IN_PROGRESS,
                        RunStatus.UNKNOWN,
                        "another send of this request is in progress or was interrupted",
                        RETRY_AFTER_MILLIS));
            } else {
                releaseClaim(token);
                fail(new Problem(
                        ProblemType.UNAVAILABLE,
                        RunStatus.NOT_RUN,
                        "the request cannot be recorded now",
                        RETRY_AFTER_MILLIS));
            }
        });
    }

    private void acquire() {
        SlotRequest slotRequest = new SlotRequest(
                context.workspace(),
                call.service().pool(),
                0,
                StableHash.of(context.requestId()),
                Set.copyOf(avoidedServers),
                false,
                deadlineMillis);
        Futures.onComplete(dependencies.backends().acquire(slotRequest), (slot, failure) -> {
            if (failure instanceof NoCapacityException noCapacity) {
                claim.ifPresent(this::releaseClaim);
                fail(ChatProblems.ofCapacity(noCapacity, sent ? RunStatus.UNKNOWN : RunStatus.NOT_RUN));
            } else if (failure == null) {
                dispatch(slot);
            }
        });
    }

    private void dispatch(Slot slot) {
        attempts++;
        sent = true;
        explain("dispatch", slot.server().address());
        ServiceAttempt attempt = new ServiceAttempt(dependencies.ports().loop(), slot, new AttemptListener(slot));
        attempt.send(dependencies.ports().backends(), call, Math.max(1, deadlineMillis - dependencies.nowMillis()));
    }

    private void settleAndRespond(RecordedAnswer answer, Bytes body, String backendServer) {
        Bill bill = new Bill(List.of(new Bill.Line(
                call.service().name(), backendServer, 0, 0, call.service().priceMicrosPerCall())));
        LedgerRecord.Settlement settlement =
                new LedgerRecord.Settlement(key, claim, bill, claim.map(_token -> answer), dependencies.nowMillis());
        context.explanation().end("answered " + answer.status(), bill);
        settleWithRetry(settlement, answer, body);
    }

    private void settleWithRetry(LedgerRecord.Settlement settlement, RecordedAnswer answer, Bytes body) {
        Futures.onResult(dependencies.ledger().settle(settlement), safe -> {
            if (safe) {
                explain("settled", "bill is safe");
                respond(answer.status(), answer.contentType(), body, List.of());
            } else {
                dependencies.ports().loop().schedule(RETRY_AFTER_MILLIS, () -> settleWithRetry(settlement, answer, body));
            }
        });
    }

    private void replay(RecordedAnswer answer) {
        dependencies.counters().count("requests.replayed");
        context.explanation().end("answered from the record", new Bill(List.of()));
        if (!answer.complete()) {
            fail(Problem.of(ProblemType.ANSWER_NOT_KEPT, RunStatus.RAN, "the request ran; its answer was not kept"));
            return;
        }
        respond(
                answer.status(),
                answer.contentType(),
                answer.body(),
                List.of(new CallerChannel.HeaderField("Heatherloft-Replayed", "true")));
    }

    private void respond(int status, String contentType, Bytes body, List<CallerChannel.HeaderField> extra) {
        if (!ended) {
            ended = true;
            List<CallerChannel.HeaderField> headers = new ArrayList<>(context.headers(RunStatus.RAN));
            headers.addAll(extra);
            ResponseWriter.send(channel, new CallerChannel.ResponseHead(status, contentType, List.copyOf(headers)), body);
        }
    }

    private void fail(Problem problem) {
        if (!ended) {
            ended = true;
            explain("gave up", problem.detail());
            context.explanation().end(problem.type().slug(), new Bill(List.of()));
            dependencies.counters().count("requests.refused." + problem.type().slug());
            ResponseWriter.send(channel, context.headers(problem.runStatus()), problem);
        }
    }

    private void releaseClaim(ClaimToken token) {
        if (!sent) {
            Futures.onResult(
                    dependencies.ledger().settle(new LedgerRecord.Release(key, token, dependencies.nowMillis())), _safe -> {});
        }
    }

    private void retryOrFail(BackendFailure failure) {
        boolean again = call.isIdempotent()
                && attempts < MAX_ATTEMPTS
                && dependencies.retryBudget().tryAcquire();
        if (again) {
            dependencies.counters().count("requests.retries");
            explain("retry", failure.detail());
            acquire();
            return;
        }
        ProblemType type =
                failure.kind() == BackendFailure.Kind.TIMED_OUT ? ProblemType.TIMEOUT : ProblemType.BACKEND_FAILED;
        fail(Problem.of(type, RunStatus.UNKNOWN, failure.detail()));
    }

    private void explain(String what, String detail) {
        context.explanation().add(dependencies.nowMillis(), what, detail);
    }

    private final class AttemptListener implements ServiceAttempt.Listener {
        private final Slot slot;

        AttemptListener(Slot slot) {
            this.slot = slot;
        }

        @Override
        public void onAnswer(int status, String contentType, Bytes body) {
            dependencies.retryBudget().recordSuccess();
            explain("answer", "status " + status);
            settleAndRespond(
                    RecordedAnswer.of(status, contentType, body),
                    body,
                    slot.server().address());
        }

        @Override
        public void onNotRun(boolean leaving) {
            avoidedServers.add(slot.server().address());
            attempts--;
            sent = attempts > 0;
            if (leaving) {
                dependencies.backends().recordLeaving(slot.server());
            }
            acquire();
        }

        @Override
        public void onExchangeFailed(BackendFailure failure) {
            avoidedServers.add(slot.server().address());
            ServiceRequestHandler.this.retryOrFail(failure);
        }
    }
}
