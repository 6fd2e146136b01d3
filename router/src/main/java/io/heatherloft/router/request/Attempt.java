package io.heatherloft.router.request;

import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.backend.AnswerListener;
import io.heatherloft.router.backend.BackendExchange;
import io.heatherloft.router.backend.ExchangeFailure;
import io.heatherloft.router.fleet.BackendServerState;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;

/**
 * One send of a request to one backend server.
 *
 * <p>Invariants: tells its execution one end; counts as in progress on its server from the send to that end. Confined to
 * the loop's thread.
 */
final class Attempt implements AnswerListener {
    private static final int OK = 200;
    private static final long SILENCE_CHECK_MILLIS = 250L;
    private static final int MISDIRECTED = 421;
    private static final int MULTIPLE_CHOICES = 300;
    private static final int SERVER_ERROR = 500;

    private final RequestExecution execution;
    private final BackendServerState server;
    private final int number;
    private final long sentAtMillis;
    private BackendExchange exchange;
    private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;
    private int status;
    private Mode mode = Mode.WAITING;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private long firstEventMillis = -1;
    private long lastNewsMillis;
    private Loop.Cancellation silenceTimer = () -> {};
    private final long eventsBefore;
    private long unreadTokens;
    private String kind = "";
    private boolean over;

    /**
     * Creates an attempt.
     *
     * @param unreadTokens tokens of the prompt that the server has to read before it answers
     */
    Attempt(RequestExecution execution, BackendServerState server, int number, long unreadTokens) {
        this.unreadTokens = unreadTokens;
        this.execution = execution;
        this.server = server;
        this.number = number;
        this.sentAtMillis = execution.engine().loop().nowMillis();
        this.eventsBefore = execution.relay().passedOn();
    }

    BackendServerState server() {
        return server;
    }

    void send(DispatchFacts dispatch) {
        HttpHeaders outgoing =
                execution.engine().dialect().dispatchHeaders(execution.request().headers(), dispatch);
        byte[] content = execution.request().body().toArray();
        boolean hasBody = content.length > 0
                || execution.request().headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || execution.request().headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        if (hasBody) {
            outgoing.set(HttpHeaderNames.CONTENT_LENGTH, content.length);
        }
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                execution.request().method(),
                execution.request().target(),
                Unpooled.wrappedBuffer(content),
                outgoing,
                EmptyHttpHeaders.INSTANCE);
        kind = execution.route().name() + '/' + dispatch.model().orElse("");
        server.begin();
        server.addUnreadTokens(unreadTokens);
        execution
                .engine()
                .log()
                .request("dispatch", execution.facts().attemptId().orElse(""), line -> line.with(
                                "backend_id", server.entry().id())
                        .with("backend_revision", server.revision())
                        .with("backend_version", server.entry().version())
                        .with("backend_outstanding", server.outstanding())
                        .with("send", number)
                        .with("time_left_ms", dispatch.timeLeftMillis())
                        .with("model", dispatch.model().orElse(""))
                        .with("outcome", "sent"));
        exchange = execution.engine().pool().send(server.target(), message, this);
        lastNewsMillis = sentAtMillis;
        awaitNews();
    }

    private void awaitNews() {
        if (over) {
            return;
        }
        boolean serverSilent = server.lastNewsMillis() <= lastNewsMillis;
        SilenceLimits.limitMillis(execution.route(), firstEventMillis >= 0, serverSilent)
                .ifPresent(limitMillis -> {
                    long leftMillis = lastNewsMillis
                            + limitMillis
                            - execution.engine().loop().nowMillis();
                    if (leftMillis > 0) {
                        // The server may fall silent, or be heard of, meanwhile.
                        leftMillis = Math.min(leftMillis, SILENCE_CHECK_MILLIS);
                        silenceTimer = execution.engine().loop().schedule(leftMillis, this::awaitNews);
                    } else if (execution.movesAfterSilence(this)) {
                        server.health().recordFailure(execution.engine().loop().nowMillis());
                        execution.engine().pool().closeIdle(server.entry().id());
                    }
                });
    }

    void cancel() {
        if (!over) {
            end();
            server.health().recordInconclusive();
            if (exchange != null) {
                exchange.cancel();
            }
        }
    }

    void setReading(boolean reading) {
        if (!over && exchange != null) {
            exchange.setReading(reading);
        }
    }

    private void onNews() {
        lastNewsMillis = execution.engine().loop().nowMillis();
        server.onNews(lastNewsMillis);
    }

    private void promptIsRead() {
        server.addUnreadTokens(-unreadTokens);
        unreadTokens = 0;
    }

    @Override
    public boolean onHead(int newStatus, HttpHeaders newHeaders) {
        AnswerFacts facts = execution.engine().dialect().readAnswer(newStatus, newHeaders);
        if (facts.attemptId().isPresent()
                && !facts.attemptId().equals(execution.facts().attemptId())) {
            return false;
        }
        promptIsRead();
        onNews();
        status = newStatus;
        headers = newHeaders;
        if (facts.notExecuted() || status == MISDIRECTED) {
            mode = Mode.NOT_RUN;
        } else if (status < MULTIPLE_CHOICES
                && !(facts.sealed() && facts.attemptId().isPresent())) {
            breakOff("answer does not state its request or is not sealed");
        } else if (status == OK && execution.route().repeatPolicy().isStream()) {
            if (!execution.acceptsAnswer(this, facts.confidence())) {
                return true;
            }
            mode = Mode.STREAM;
            execution.onStreamHead(this, status, headers);
        } else {
            mode = Mode.WHOLE;
        }
        return true;
    }

    private void breakOff(String reason) {
        if (exchange != null) {
            exchange.cancel();
        }
        onFailure(new ExchangeFailure(ExchangeFailure.Kind.BROKEN, reason));
    }

    @Override
    public void onPart(ByteBuf part) {
        if (mode == Mode.WHOLE) {
            if (body.capacity() == 0) {
                body = Unpooled.buffer(part.readableBytes());
            }
            body.writeBytes(part);
        } else if (mode == Mode.STREAM) {
            execution.relay().accept(part);
            onNews();
            if (firstEventMillis < 0 && execution.relay().passedOn() > eventsBefore) {
                firstEventMillis = execution.engine().loop().nowMillis() - sentAtMillis;
            }
            if (execution.relay().isDisordered()) {
                breakOff("an event is missing");
            }
        }
    }

    @Override
    public void onEnd() {
        if (over) {
            return;
        }
        switch (mode) {
            case NOT_RUN -> {
                end();
                server.health().recordInconclusive();
                execution.onNotRun(this, "status " + status);
            }
            case STREAM -> onStreamEnd();
            case WHOLE -> {
                end();
                recordOutcome(status >= SERVER_ERROR);
                execution.onWhole(this, status, headers, body);
            }
            case WAITING -> onFailure(new ExchangeFailure(ExchangeFailure.Kind.BROKEN, "no answer"));
        }
    }

    private void onStreamEnd() {
        if (execution.relay().hasPartial()) {
            onFailure(new ExchangeFailure(ExchangeFailure.Kind.BROKEN, "stream ended within an event"));
            return;
        }
        end();
        recordOutcome(false);
        execution.onStreamEnd(this);
    }

    @Override
    public void onFailure(ExchangeFailure failure) {
        if (over) {
            return;
        }
        end();
        if (failure.kind() == ExchangeFailure.Kind.NOT_SENT) {
            server.health().recordUnreachable(execution.engine().loop().nowMillis());
        } else {
            recordOutcome(true);
            execution.engine().pool().closeIdle(server.entry().id());
        }
        execution
                .engine()
                .log()
                .request("attempt_failed", execution.facts().attemptId().orElse(""), line -> line.with(
                                "backend_id", server.entry().id())
                        .with("send", number)
                        .with("waited_ms", execution.engine().loop().nowMillis() - sentAtMillis)
                        .with("reason", failure.reason())
                        .with("outcome", failure.kind().name()));
        execution.onFailure(this, failure);
    }

    private void recordOutcome(boolean failed) {
        String version = server.entry().version();
        if (failed) {
            server.health().recordFailure(execution.engine().loop().nowMillis());
            execution.engine().versions().recordFailure(execution.service(), version);
        } else {
            server.health().recordSuccess();
            execution.engine().versions().recordAnswer(execution.service(), version, kind, millisPerPart());
        }
    }

    // Streams differ in length, so their speed is the time for an event; the wait for the first one counts as well.
    private double millisPerPart() {
        long elapsed = execution.engine().loop().nowMillis() - sentAtMillis;
        return (double) elapsed / Math.max(1, execution.relay().passedOn() - eventsBefore);
    }

    private void end() {
        over = true;
        silenceTimer.cancel();
        promptIsRead();
        server.end();
    }

    private enum Mode {
        WAITING,
        WHOLE,
        STREAM,
        NOT_RUN
    }
}
