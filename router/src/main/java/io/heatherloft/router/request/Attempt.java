package io.heatherloft.router.request;

import io.heatherloft.domain.route.CrashingPromptDetector;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.backend.BackendConnectionPool;
import io.heatherloft.router.backend.BackendExchange;
import io.heatherloft.router.backend.ExchangeFailure;
import io.heatherloft.router.backend.ResponseListener;
import io.heatherloft.router.fleet.BackendServerState;
import io.heatherloft.router.fleet.ResponseProgress;
import io.heatherloft.router.fleet.VersionPolicy;
import io.heatherloft.router.peers.ServerNotices;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * One attempt to run a request on one backend server.
 *
 * <p>Invariants: at most one outcome is reported to the {@link RequestExecution}; the attempt counts as outstanding on
 * its server from the send until it ends. Confined to the loop's thread.
 */
final class Attempt implements ResponseListener, ResponseProgress {
    private static final int STATUS_OK = 200;
    private static final long INACTIVITY_CHECK_MILLIS = 250L;
    // A rejection is usually read whole, so that its connection can be used again.
    private static final long MAX_REJECTION_BODY_MILLIS = 250L;
    private static final int MAX_REJECTION_BODY_BYTES = 65_536;
    private static final int STATUS_MISDIRECTED_REQUEST = 421;
    private static final int FIRST_REDIRECTION_STATUS = 300;
    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    private final RequestExecution execution;
    private final BackendServerState server;
    private final VersionPolicy.Reason versionReason;
    private final int sendNumber;
    private final long sentAtMillis;
    private BackendExchange exchange;
    private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;
    private int status;
    private ResponseMode responseMode = ResponseMode.AWAITING_HEADERS;
    private Optional<CrashingPromptDetector.Response> response = Optional.empty();
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private int rejectionBodyBytes;
    private long firstByteMillis = -1;
    private long responseStartMillis = -1;
    private long timeToFirstEventMillis = -1;
    private long lastReceivedMillis;
    private Loop.Cancellation inactivityTimer = () -> {};
    private final long eventsBeforeAttempt;
    private long pendingPromptTokens;
    private final long heldTokens;
    private String latencyGroup = "";
    private boolean contentReceived;
    private boolean stalled;
    private boolean ended;

    /**
     * Creates an attempt.
     *
     * @param selection server that runs the attempt, and the reason for its version
     * @param pendingPromptTokens prompt tokens that the server has to process before it responds
     * @param heldTokens tokens that the server holds until the attempt ends; 0 if they are not counted
     */
    Attempt(
            RequestExecution execution,
            AttemptBackendSelector.Selection selection,
            int sendNumber,
            long pendingPromptTokens,
            long heldTokens) {
        this.pendingPromptTokens = pendingPromptTokens;
        this.heldTokens = heldTokens;
        this.execution = execution;
        this.server = selection.server();
        this.versionReason = selection.versionReason();
        this.sendNumber = sendNumber;
        this.sentAtMillis = execution.engine().loop().nowMillis();
        this.eventsBeforeAttempt = execution.relay().relayedCount();
    }

    BackendServerState server() {
        return server;
    }

    /** Returns false once the attempt has had its outcome or was cancelled. */
    boolean isInProgress() {
        return !ended;
    }

    void send(DispatchMetadata dispatch) {
        HttpHeaders headersToSend = execution
                .engine()
                .headerCodec()
                .backendRequestHeaders(execution.request().headers(), dispatch);
        byte[] content = execution.request().body().toArray();
        boolean hasBody = content.length > 0
                || execution.request().headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || execution.request().headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        if (hasBody) {
            headersToSend.set(HttpHeaderNames.CONTENT_LENGTH, content.length);
        }
        FullHttpRequest outgoingRequest = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                execution.request().method(),
                execution.request().target(),
                Unpooled.wrappedBuffer(content),
                headersToSend,
                EmptyHttpHeaders.INSTANCE);
        latencyGroup = execution.route().name() + '/' + dispatch.model().orElse("");
        server.onRequestStart();
        execution.engine().serverNotices().onSend(server);
        execution.engine().coldServers().onSend(server);
        execution.engine().versionPolicies().onResponseStart(execution.service(), this);
        server.addPendingPromptTokens(pendingPromptTokens);
        server.addHeldTokens(heldTokens);
        execution
                .engine()
                .log()
                .request("dispatch", execution.metadata().attemptId().orElse(""), line -> line.with(
                                "backend_id", server.entry().id())
                        .with("backend_revision", server.revision().number())
                        .with("backend_version", server.entry().version())
                        .with("version_reason", versionReason.name())
                        .with("session", execution.metadata().session().orElse(""))
                        .with("backend_outstanding", server.outstanding())
                        .with("send", sendNumber)
                        .with("time_left_ms", dispatch.timeLeftMillis())
                        .with("model", dispatch.model().orElse(""))
                        .with("model_reason", execution.modelReason().name())
                        .with("outcome", "sent"));
        response = execution.crashGuard().onSend(server);
        exchange = send(outgoingRequest);
        lastReceivedMillis = sentAtMillis;
        checkInactivity();
    }

    // A connection that has carried this request before may carry a late copy of the refusal, which has the same ID.
    private BackendExchange send(FullHttpRequest outgoingRequest) {
        BackendConnectionPool pool = execution.engine().connectionPool();
        return execution.hasTried(server)
                ? pool.sendOnNewConnection(server.endpoint(), outgoingRequest, this)
                : pool.send(server.endpoint(), outgoingRequest, this);
    }

    private void checkInactivity() {
        if (ended || !execution.mayRun()) {
            return;
        }
        boolean serverInactive = server.lastReceivedMillis() <= lastReceivedMillis;
        InactivityTimeouts.timeoutMillis(execution.route(), timeToFirstEventMillis >= 0, serverInactive)
                .ifPresent(timeoutMillis -> {
                    long remainingMillis = lastReceivedMillis
                            + timeoutMillis
                            - execution.engine().loop().nowMillis();
                    if (remainingMillis > 0) {
                        // The applicable time-out changes with the server's activity on other connections, so check
                        // again soon.
                        remainingMillis = Math.min(remainingMillis, INACTIVITY_CHECK_MILLIS);
                        inactivityTimer = execution.engine().loop().schedule(remainingMillis, this::checkInactivity);
                        return;
                    }
                    stalled = true;
                    if (execution.repeatAfterInactivity(this)) {
                        inactivityTimer = execution
                                .engine()
                                .loop()
                                .schedule(Math.max(timeoutMillis, INACTIVITY_CHECK_MILLIS), this::checkInactivity);
                    }
                });
    }

    /** Records that the server has been inactive for too long; the attempt goes on. */
    void recordSilence() {
        server.health().recordFailure(execution.engine().loop().nowMillis());
        execution.engine().connectionPool().closeIdle(server.entry().id());
    }

    void cancel() {
        if (!ended) {
            markEnded(exchange != null && exchange.isSent());
            response.ifPresent(CrashingPromptDetector.Response::abandon);
            server.health().recordInconclusive();
            execution.engine().versionPolicies().onResponseAbandoned(execution.service(), this);
            if (exchange != null) {
                if (exchange.isSent()) {
                    execution.crashGuard().onCancelled(server, sentAtMillis);
                }
                exchange.cancel();
            }
        }
    }

    void setAutoRead(boolean autoRead) {
        if (!ended && exchange != null) {
            exchange.setAutoRead(autoRead);
        }
    }

    private void recordReceived() {
        lastReceivedMillis = execution.engine().loop().nowMillis();
        server.onReceived(lastReceivedMillis);
    }

    private void rejected() {
        if (status != STATUS_MISDIRECTED_REQUEST) {
            server.onRejected(execution.engine().loop().nowMillis());
        }
        markEnded(false);
        server.health().recordInconclusive();
        execution.engine().versionPolicies().onNotExecuted(execution.service(), this);
        execution.onNotExecuted(this, "status " + status);
    }

    private void abandonRejectionBody() {
        if (!ended) {
            exchange.cancel();
            rejected();
        }
    }

    private void clearPendingPromptTokens() {
        server.addPendingPromptTokens(-pendingPromptTokens);
        pendingPromptTokens = 0;
    }

    @Override
    public void onFirstByte() {
        firstByteMillis = execution.engine().loop().nowMillis();
        response.ifPresent(execution.crashGuard()::onFirstByte);
    }

    @Override
    public boolean onHeaders(int newStatus, HttpHeaders newHeaders) {
        ResponseMetadata metadata = execution.engine().headerCodec().readResponse(newStatus, newHeaders);
        if (!isForThisRequest(metadata)) {
            logDiscarded(newStatus, metadata);
            return false;
        }
        clearPendingPromptTokens();
        recordReceived();
        responseStartMillis = lastReceivedMillis;
        status = newStatus;
        headers = newHeaders;
        recordRequestLimit(metadata);
        recordAvailability(metadata);
        execution.onResponseBegun();
        if (metadata.notExecuted() || status == STATUS_MISDIRECTED_REQUEST) {
            responseMode = ResponseMode.NOT_EXECUTED;
            response.ifPresent(execution.crashGuard()::onEnd);
            inactivityTimer.cancel();
            inactivityTimer = execution.engine().loop().schedule(MAX_REJECTION_BODY_MILLIS, this::abandonRejectionBody);
        } else if (status < FIRST_REDIRECTION_STATUS
                && !(metadata.sealed() && metadata.attemptId().isPresent())) {
            abort("response carries no attempt ID or no seal");
        } else if (status == STATUS_OK && !execution.acceptsResponse(this, metadata.confidence())) {
            return true;
        } else if (status == STATUS_OK && execution.route().repeatPolicy().isStream()) {
            responseMode = ResponseMode.STREAMED;
            response.ifPresent(execution.crashGuard()::onResponseStart);
            execution.onStreamStart(this, status, headers);
        } else {
            responseMode = ResponseMode.BUFFERED;
            if (status == STATUS_OK && firstByteMillis >= 0) {
                recordResponseTime(firstByteMillis - sentAtMillis);
            }
        }
        return true;
    }

    private void recordResponseTime(long millis) {
        execution
                .engine()
                .backendSelector()
                .recordResponseTime(server, execution.service() + '/' + latencyGroup, millis);
    }

    // A response without an ID may be a late copy of one to an earlier request, if the connection has carried any.
    private boolean isForThisRequest(ResponseMetadata metadata) {
        Optional<String> ownId = execution.metadata().attemptId();
        return metadata.attemptId().isPresent()
                ? metadata.attemptId().equals(ownId)
                : ownId.isEmpty() || exchange.isFirst();
    }

    private void logDiscarded(int discardedStatus, ResponseMetadata metadata) {
        execution
                .engine()
                .log()
                .request("response", execution.metadata().attemptId().orElse(""), line -> line.with(
                                "backend_id", server.entry().id())
                        .with("status", discardedStatus)
                        .with("response_to", metadata.attemptId().orElse(""))
                        .with("not_executed", metadata.notExecuted())
                        .with("outcome", "discarded"));
    }

    private void recordRequestLimit(ResponseMetadata metadata) {
        boolean executed = !metadata.notExecuted() && status != STATUS_MISDIRECTED_REQUEST;
        if (!executed && metadata.requestLimit().isEmpty()) {
            return;
        }
        if (execution.engine().serverNotices().onResponse(server, metadata.requestLimit(), sentAtMillis)) {
            execution.engine().log().stateChange("server_limit", line -> line.with(
                            "backend_id", server.entry().id())
                    .with("requests_per_second", metadata.requestLimit().orElse(-1))
                    .with("outcome", metadata.requestLimit().isPresent() ? "named" : "lifted"));
        }
    }

    private void recordAvailability(ResponseMetadata metadata) {
        // Another server that has taken over the address does not speak for this one.
        if (status == STATUS_MISDIRECTED_REQUEST) {
            return;
        }
        execution.engine().coldServers().onResponse(server, metadata.coldMillis());
        ServerNotices notices = execution.engine().serverNotices();
        boolean leavingNow = metadata.leaving() && notices.onDeparture(server);
        boolean restingNow = metadata.restMillis().isPresent()
                && notices.onRest(server, metadata.restMillis().getAsLong(), exchange.isRelayed());
        if (leavingNow || restingNow) {
            execution.engine().log().stateChange("server_notice", line -> line.with(
                            "backend_id", server.entry().id())
                    .with("rest_ms", metadata.restMillis().orElse(0))
                    .with("outcome", leavingNow ? "leaving" : "at_rest"));
        }
    }

    private void abort(String reason) {
        if (exchange != null) {
            exchange.cancel();
        }
        fail(new ExchangeFailure(ExchangeFailure.Kind.BROKEN, reason));
    }

    @Override
    public void onContent(ByteBuf part) {
        if (responseMode == ResponseMode.NOT_EXECUTED) {
            rejectionBodyBytes += part.readableBytes();
            if (rejectionBodyBytes > MAX_REJECTION_BODY_BYTES) {
                abandonRejectionBody();
            }
        } else if (responseMode == ResponseMode.BUFFERED) {
            buffer(part);
        } else if (responseMode == ResponseMode.STREAMED) {
            long relayedBefore = execution.relay().relayedCount();
            contentReceived = true;
            execution.relay().accept(part);
            server.onReceived(execution.engine().loop().nowMillis());
            if (execution.relay().relayedCount() > relayedBefore) {
                lastReceivedMillis = execution.engine().loop().nowMillis();
                stalled = false;
            }
            if (timeToFirstEventMillis < 0 && execution.relay().relayedCount() > eventsBeforeAttempt) {
                timeToFirstEventMillis = execution.engine().loop().nowMillis() - sentAtMillis;
                recordResponseTime(timeToFirstEventMillis);
            }
            if (execution.relay().hasGap()) {
                abort("gap in the event IDs of the stream");
            } else if (execution.relay().hasOversizedEvent()) {
                abort("event of the stream exceeds its maximum size");
            }
        }
    }

    private void buffer(ByteBuf part) {
        if (!execution.engine().responseBuffers().tryReserve(body.readableBytes(), part.readableBytes())) {
            abort("response body exceeds the memory for buffered responses");
            return;
        }
        if (body.capacity() == 0) {
            body = Unpooled.buffer(part.readableBytes());
        }
        body.writeBytes(part);
    }

    @Override
    public void onComplete() {
        if (ended) {
            return;
        }
        switch (responseMode) {
            case NOT_EXECUTED -> rejected();
            case STREAMED -> onStreamEnd();
            case BUFFERED -> {
                markEnded(true);
                recordOutcome(status >= FIRST_SERVER_ERROR_STATUS);
                execution.onCompleteResponse(this, status, headers, body);
            }
            case AWAITING_HEADERS -> onFailure(
                    new ExchangeFailure(ExchangeFailure.Kind.BROKEN, "exchange ended without response headers"));
        }
    }

    private void onStreamEnd() {
        if (execution.relay().hasPartialEvent()) {
            onFailure(new ExchangeFailure(ExchangeFailure.Kind.BROKEN, "stream ended inside an incomplete event"));
            return;
        }
        if (!contentReceived && isDelimitedByConnection()) {
            onFailure(new ExchangeFailure(ExchangeFailure.Kind.BROKEN, "connection was closed before any event"));
            return;
        }
        markEnded(true);
        recordOutcome(false);
        execution.onStreamEnd(this);
    }

    // Such a response cannot be told from one whose server ended after the headers.
    private boolean isDelimitedByConnection() {
        return !headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                && !headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
    }

    @Override
    public void onFailure(ExchangeFailure failure) {
        if (!ended) {
            if (isOfServer(failure)) {
                execution.engine().coldServers().onFailure(server);
            }
            fail(failure);
        }
    }

    // An idle connection may be closed, and one through another host may be lost, although the server runs.
    private boolean isOfServer(ExchangeFailure failure) {
        return failure.kind() == ExchangeFailure.Kind.NOT_SENT
                ? failure.refused() || failure.confirmed()
                : exchange != null && !exchange.isRelayed();
    }

    private void fail(ExchangeFailure failure) {
        if (ended) {
            return;
        }
        if (failure.kind() != ExchangeFailure.Kind.NOT_SENT) {
            execution.crashGuard().onInterrupted(server, response);
        }
        markEnded(false);
        if (failure.kind() == ExchangeFailure.Kind.NOT_SENT) {
            server.health().recordUnreachable(execution.engine().loop().nowMillis());
            execution.engine().versionPolicies().onNotExecuted(execution.service(), this);
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
                        .with("response_ms", responseMillis())
                        .with("first_byte_ms", firstByteMillis < 0 ? -1 : firstByteMillis - sentAtMillis)
                        .with("events", receivedEvents())
                        .with("prompt_parts", execution.metadata().promptPartIds())
                        .with("reason", failure.reason())
                        .with("outcome", failure.kind().name()));
        execution.onFailure(this, failure);
    }

    // Time since the response began; -1 if it has not.
    private long responseMillis() {
        return responseStartMillis < 0 ? -1 : execution.engine().loop().nowMillis() - responseStartMillis;
    }

    private void recordOutcome(boolean failed) {
        long now = execution.engine().loop().nowMillis();
        if (failed) {
            server.health().recordFailure(now);
            execution.engine().versionPolicies().recordFailure(execution.service(), this);
        } else {
            server.health().recordSuccess();
            execution.engine().versionPolicies().recordResponse(execution.service(), this);
        }
    }

    @Override
    public String version() {
        return server.entry().version();
    }

    @Override
    public String kind() {
        return latencyGroup;
    }

    @Override
    public long sentAtMillis() {
        return sentAtMillis;
    }

    @Override
    public OptionalLong firstEventMillis() {
        return timeToFirstEventMillis >= 0 ? OptionalLong.of(timeToFirstEventMillis) : OptionalLong.empty();
    }

    @Override
    public boolean isStalled() {
        return stalled;
    }

    @Override
    public long receivedEvents() {
        return execution.relay().relayedCount() - eventsBeforeAttempt;
    }

    private void markEnded(boolean slotFreed) {
        ended = true;
        response.ifPresent(execution.crashGuard()::onEnd);
        inactivityTimer.cancel();
        clearPendingPromptTokens();
        execution.engine().responseBuffers().release(body.readableBytes());
        server.onRequestEnd();
        server.addHeldTokens(-heldTokens);
        execution.onAttemptEnded(this, slotFreed);
    }

    private enum ResponseMode {
        AWAITING_HEADERS,
        BUFFERED,
        STREAMED,
        NOT_EXECUTED
    }
}
