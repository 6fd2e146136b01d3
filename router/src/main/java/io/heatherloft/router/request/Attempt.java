package io.heatherloft.router.request;

import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.backend.BackendExchange;
import io.heatherloft.router.backend.ExchangeFailure;
import io.heatherloft.router.backend.ResponseListener;
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
final class Attempt implements ResponseListener {
    private static final int STATUS_OK = 200;
    private static final long INACTIVITY_CHECK_MILLIS = 250L;
    private static final int STATUS_MISDIRECTED_REQUEST = 421;
    private static final int FIRST_REDIRECTION_STATUS = 300;
    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    private final RequestExecution execution;
    private final BackendServerState server;
    private final int sendNumber;
    private final long sentAtMillis;
    private BackendExchange exchange;
    private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;
    private int status;
    private ResponseMode responseMode = ResponseMode.AWAITING_HEADERS;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private long timeToFirstEventMillis = -1;
    private long lastActivityMillis;
    private Loop.Cancellation inactivityTimer = () -> {};
    private final long eventsBeforeAttempt;
    private long pendingPromptTokens;
    private String latencyGroup = "";
    private boolean ended;

    /**
     * Creates an attempt.
     *
     * @param unreadTokens tokens of the prompt that the server has to read before it answers
     */
    Attempt(RequestExecution execution, BackendServerState server, int number, long unreadTokens) {
        this.pendingPromptTokens = unreadTokens;
        this.execution = execution;
        this.server = server;
        this.sendNumber = number;
        this.sentAtMillis = execution.engine().loop().nowMillis();
        this.eventsBeforeAttempt = execution.relay().relayedCount();
    }

    BackendServerState server() {
        return server;
    }

    void send(DispatchMetadata dispatch) {
        HttpHeaders outgoing =
                execution.engine().headerCodec().backendRequestHeaders(execution.request().headers(), dispatch);
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
        latencyGroup = execution.route().name() + '/' + dispatch.model().orElse("");
        server.onRequestStart();
        server.addPendingPromptTokens(pendingPromptTokens);
        execution
                .engine()
                .log()
                .request("dispatch", execution.metadata().attemptId().orElse(""), line -> line.with(
                                "backend_id", server.entry().id())
                        .with("backend_revision", server.revision())
                        .with("backend_version", server.entry().version())
                        .with("backend_outstanding", server.outstanding())
                        .with("send", sendNumber)
                        .with("time_left_ms", dispatch.timeLeftMillis())
                        .with("model", dispatch.model().orElse(""))
                        .with("outcome", "sent"));
        exchange = execution.engine().connectionPool().send(server.endpoint(), message, this);
        lastActivityMillis = sentAtMillis;
        checkInactivity();
    }

    private void checkInactivity() {
        if (ended) {
            return;
        }
        boolean serverSilent = server.lastReceivedMillis() <= lastActivityMillis;
        InactivityTimeouts.timeoutMillis(execution.route(), timeToFirstEventMillis >= 0, serverSilent)
                .ifPresent(limitMillis -> {
                    long leftMillis = lastActivityMillis
                            + limitMillis
                            - execution.engine().loop().nowMillis();
                    if (leftMillis > 0) {
                        // The server may fall silent, or be heard of, meanwhile.
                        leftMillis = Math.min(leftMillis, INACTIVITY_CHECK_MILLIS);
                        inactivityTimer = execution.engine().loop().schedule(leftMillis, this::checkInactivity);
                    } else if (execution.tryRetryAfterInactivity(this)) {
                        server.health().recordFailure(execution.engine().loop().nowMillis());
                        execution.engine().connectionPool().closeIdle(server.entry().id());
                    }
                });
    }

    void cancel() {
        if (!ended) {
            markEnded();
            server.health().recordInconclusive();
            if (exchange != null) {
                exchange.cancel();
            }
        }
    }

    void setAutoRead(boolean reading) {
        if (!ended && exchange != null) {
            exchange.setAutoRead(reading);
        }
    }

    private void recordActivity() {
        lastActivityMillis = execution.engine().loop().nowMillis();
        server.onReceived(lastActivityMillis);
    }

    private void clearPendingPromptTokens() {
        server.addPendingPromptTokens(-pendingPromptTokens);
        pendingPromptTokens = 0;
    }

    @Override
    public boolean onHeaders(int newStatus, HttpHeaders newHeaders) {
        ResponseMetadata facts = execution.engine().headerCodec().readResponse(newStatus, newHeaders);
        if (facts.attemptId().isPresent()
                && !facts.attemptId().equals(execution.metadata().attemptId())) {
            return false;
        }
        clearPendingPromptTokens();
        recordActivity();
        status = newStatus;
        headers = newHeaders;
        if (facts.notExecuted() || status == STATUS_MISDIRECTED_REQUEST) {
            responseMode = ResponseMode.NOT_EXECUTED;
        } else if (status < FIRST_REDIRECTION_STATUS
                && !(facts.sealed() && facts.attemptId().isPresent())) {
            abort("answer does not state its request or is not sealed");
        } else if (status == STATUS_OK && execution.route().repeatPolicy().isStream()) {
            if (!execution.acceptsResponse(this, facts.confidence())) {
                return true;
            }
            responseMode = ResponseMode.STREAMED;
            execution.onStreamStart(this, status, headers);
        } else {
            responseMode = ResponseMode.BUFFERED;
        }
        return true;
    }

    private void abort(String reason) {
        if (exchange != null) {
            exchange.cancel();
        }
        onFailure(new ExchangeFailure(ExchangeFailure.Kind.BROKEN, reason));
    }

    @Override
    public void onContent(ByteBuf part) {
        if (responseMode == ResponseMode.BUFFERED) {
            if (body.capacity() == 0) {
                body = Unpooled.buffer(part.readableBytes());
            }
            body.writeBytes(part);
        } else if (responseMode == ResponseMode.STREAMED) {
            execution.relay().accept(part);
            recordActivity();
            if (timeToFirstEventMillis < 0 && execution.relay().relayedCount() > eventsBeforeAttempt) {
                timeToFirstEventMillis = execution.engine().loop().nowMillis() - sentAtMillis;
            }
            if (execution.relay().hasGap()) {
                abort("an event is missing");
            }
        }
    }

    @Override
    public void onComplete() {
        if (ended) {
            return;
        }
        switch (responseMode) {
            case NOT_EXECUTED -> {
                markEnded();
                server.health().recordInconclusive();
                execution.onNotExecuted(this, "status " + status);
            }
            case STREAMED -> onStreamEnd();
            case BUFFERED -> {
                markEnded();
                recordOutcome(status >= FIRST_SERVER_ERROR_STATUS);
                execution.onCompleteResponse(this, status, headers, body);
            }
            case AWAITING_HEADERS -> onFailure(new ExchangeFailure(ExchangeFailure.Kind.BROKEN, "no answer"));
        }
    }

    private void onStreamEnd() {
        if (execution.relay().hasPartialEvent()) {
            onFailure(new ExchangeFailure(ExchangeFailure.Kind.BROKEN, "stream ended within an event"));
            return;
        }
        markEnded();
        recordOutcome(false);
        execution.onStreamEnd(this);
    }

    @Override
    public void onFailure(ExchangeFailure failure) {
        if (ended) {
            return;
        }
        markEnded();
        if (failure.kind() == ExchangeFailure.Kind.NOT_SENT) {
            server.health().recordUnreachable(execution.engine().loop().nowMillis());
        } else {
            recordOutcome(true);
            execution.engine().connectionPool().closeIdle(server.entry().id());
        }
        execution
                .engine()
                .log()
                .request("attempt_failed", execution.metadata().attemptId().orElse(""), line -> line.with(
                                "backend_id", server.entry().id())
                        .with("send", sendNumber)
                        .with("waited_ms", execution.engine().loop().nowMillis() - sentAtMillis)
                        .with("reason", failure.reason())
                        .with("outcome", failure.kind().name()));
        execution.onFailure(this, failure);
    }

    private void recordOutcome(boolean failed) {
        String version = server.entry().version();
        if (failed) {
            server.health().recordFailure(execution.engine().loop().nowMillis());
            execution.engine().versionPolicies().recordFailure(execution.service(), version);
        } else {
            server.health().recordSuccess();
            execution.engine().versionPolicies().recordResponse(execution.service(), version, latencyGroup, millisPerEvent());
        }
    }

    // Streams differ in length, so their speed is the time for an event; the wait for the first one counts as well.
    private double millisPerEvent() {
        long elapsed = execution.engine().loop().nowMillis() - sentAtMillis;
        return (double) elapsed / Math.max(1, execution.relay().relayedCount() - eventsBeforeAttempt);
    }

    private void markEnded() {
        ended = true;
        inactivityTimer.cancel();
        clearPendingPromptTokens();
        server.onRequestEnd();
    }

    private enum ResponseMode {
        AWAITING_HEADERS,
        BUFFERED,
        STREAMED,
        NOT_EXECUTED
    }
}
