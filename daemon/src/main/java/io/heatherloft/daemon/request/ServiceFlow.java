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
final class ServiceFlow {
    private static final int MAX_ATTEMPTS = 4;
    private static final long CLAIM_PATIENCE_MILLIS = 2_500L;
    private static final long RETRY_AFTER_MILLIS = 2_000L;

    private final RequestDependencies services;
    private final RequestContext context;
    private final ServiceCall call;
    private final CallerChannel channel;
    private final RequestKey key;
    private final long deadlineMillis;
    private final Set<String> avoided = new HashSet<>();
    private Optional<ClaimToken> claim = Optional.empty();
    private int attempts;
    private boolean sent;
    private boolean ended;

    ServiceFlow(RequestDependencies services, RequestContext context, ServiceCall call, CallerChannel channel) {
        this.services = services;
        this.context = context;
        this.call = call;
        this.channel = channel;
        this.key = new RequestKey(
                context.workspace().name(),
                call.isRepeatable() ? RequestKey.Kind.IDEMPOTENT : RequestKey.Kind.AT_MOST_ONCE,
                call.isRepeatable()
                        ? context.requestId() + ":" + Long.toHexString(call.digest())
                        : call.service().name() + ":" + context.requestId());
        this.deadlineMillis = services.now() + call.service().timeoutMillis();
    }

    void run() {
        if (call.isRepeatable()) {
            acquire();
            return;
        }
        PlainService service = call.service();
        if (services.backends().usableServers(service.pool()).isEmpty()) {
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
        ClaimToken token = services.nextClaimToken();
        LedgerRecord.Claim record = new LedgerRecord.Claim(key, token, call.digest(), services.now());
        Futures.onResult(services.ledger().submit(record, CLAIM_PATIENCE_MILLIS), reply -> {
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
                release(token);
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
                Set.copyOf(avoided),
                false,
                deadlineMillis);
        Futures.onComplete(services.backends().acquire(slotRequest), (slot, failure) -> {
            if (failure instanceof NoCapacityException noCapacity) {
                claim.ifPresent(this::release);
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
        ServiceAttempt attempt = new ServiceAttempt(services.ports().loop(), slot, new AttemptListener(slot));
        attempt.send(services.ports().backends(), call, Math.max(1, deadlineMillis - services.now()));
    }

    private void settleAndAnswer(RecordedAnswer answer, Bytes body, String backendServer) {
        Bill bill = new Bill(List.of(new Bill.Line(
                call.service().name(), backendServer, 0, 0, call.service().priceMicrosPerCall())));
        LedgerRecord.Settlement settlement =
                new LedgerRecord.Settlement(key, claim, bill, claim.map(_token -> answer), services.now());
        context.explanation().end("answered " + answer.status(), bill);
        settleUntilSafe(settlement, answer, body);
    }

    private void settleUntilSafe(LedgerRecord.Settlement settlement, RecordedAnswer answer, Bytes body) {
        Futures.onResult(services.ledger().settle(settlement), safe -> {
            if (safe) {
                explain("settled", "bill is safe");
                respond(answer.status(), answer.contentType(), body, List.of());
            } else {
                services.ports().loop().schedule(RETRY_AFTER_MILLIS, () -> settleUntilSafe(settlement, answer, body));
            }
        });
    }

    private void replay(RecordedAnswer answer) {
        services.counters().count("requests.replayed");
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
            Answers.send(channel, new CallerChannel.ResponseHead(status, contentType, List.copyOf(headers)), body);
        }
    }

    private void fail(Problem problem) {
        if (!ended) {
            ended = true;
            explain("gave up", problem.detail());
            context.explanation().end(problem.type().slug(), new Bill(List.of()));
            services.counters().count("requests.refused." + problem.type().slug());
            Answers.send(channel, context.headers(problem.run()), problem);
        }
    }

    private void release(ClaimToken token) {
        if (!sent) {
            Futures.onResult(
                    services.ledger().settle(new LedgerRecord.Release(key, token, services.now())), _safe -> {});
        }
    }

    private void onBroken(BackendFailure failure) {
        boolean again = call.isRepeatable()
                && attempts < MAX_ATTEMPTS
                && services.retryBudget().tryAcquire();
        if (again) {
            services.counters().count("requests.retries");
            explain("retry", failure.detail());
            acquire();
            return;
        }
        ProblemType type =
                failure.kind() == BackendFailure.Kind.TIMED_OUT ? ProblemType.TIMEOUT : ProblemType.BACKEND_FAILED;
        fail(Problem.of(type, RunStatus.UNKNOWN, failure.detail()));
    }

    private void explain(String what, String detail) {
        context.explanation().add(services.now(), what, detail);
    }

    private final class AttemptListener implements ServiceAttempt.Listener {
        private final Slot slot;

        AttemptListener(Slot slot) {
            this.slot = slot;
        }

        @Override
        public void onAnswer(int status, String contentType, Bytes body) {
            services.retryBudget().recordSuccess();
            explain("answer", "status " + status);
            settleAndAnswer(
                    RecordedAnswer.of(status, contentType, body),
                    body,
                    slot.server().address());
        }

        @Override
        public void onNotRun(boolean leaving) {
            avoided.add(slot.server().address());
            attempts--;
            sent = attempts > 0;
            if (leaving) {
                services.backends().recordLeaving(slot.server());
            }
            acquire();
        }

        @Override
        public void onBroken(BackendFailure failure) {
            avoided.add(slot.server().address());
            ServiceFlow.this.onBroken(failure);
        }
    }
}
