package io.heatherloft.router.http;

import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.route.CallerLimits;
import io.heatherloft.ports.loop.Loop;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * One connection of a caller: aggregates requests, passes them to the handler one at a time and writes the responses in
 * order.
 *
 * <p>Invariants: at most one request is being handled; pipelined requests are queued. After a request is rejected, the
 * rest of the input is discarded, because bytes that follow a framing error could be mistaken for another request
 * (request smuggling). Confined to the loop's thread.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    // Pipelined requests queued per connection before reading from it is paused.
    private static final int MAX_PIPELINED_REQUESTS = 8;
    // Time for a caller to read the last response before the connection is closed completely (lingering close).
    private static final long LINGER_MILLIS = 1_000L;
    // A request that a host refuses because it ends can be sent to another host at once.
    private static final String RETRY_AFTER_END_SECONDS = "0.1";

    private final Loop loop;
    private final CallerServer server;
    private final Channel channel;
    private final Deque<CallerRequest> pipelined = new ArrayDeque<>();
    private HttpRequest requestHead;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private ResponseWriter activeResponse;
    private Loop.Cancellation timer = () -> {};
    private long firstByteAtMillis = -1;
    private long lastByteAtMillis;
    private long lastArrivedAtMillis;
    private long lastWrittenAtMillis;
    private boolean closing;

    CallerConnection(Loop loop, CallerServer server, Channel channel) {
        this.loop = loop;
        this.server = server;
        this.channel = channel;
    }

    /** Closes the connection if no request is being received or handled and the caller's socket has all responses. */
    void closeIfIdle() {
        if (closing || activeResponse != null || hasFollowingRequest() || hasUnsentOutput()) {
            return;
        }
        if (loop.nowMillis() - lastWrittenAtMillis < LINGER_MILLIS) {
            closeAfterResponse();
        } else {
            // Input that has not been read stays so: the reset tells the caller that its request has not been run.
            closeNow();
        }
    }

    /** Ends the requests of this connection, because the host ends. */
    void endRequests() {
        if (activeResponse != null) {
            activeResponse.onHostStopping();
        }
        // A queued request is refused when its turn comes.
        if (activeResponse == null && pipelined.isEmpty() && firstByteAtMillis >= 0 && !closing) {
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
    }

    /** Returns the requests of this connection that have no complete response in the caller's socket. */
    Stream<OpenRequest> openRequests() {
        List<OpenRequest> open = new ArrayList<>();
        if (activeResponse != null) {
            open.add(activeResponse.describe());
        } else if (hasUnsentOutput()) {
            open.add(OpenRequest.of(OpenRequest.State.RESPONSE_IN_BUFFER, lastArrivedAtMillis));
        }
        pipelined.forEach(request -> open.add(OpenRequest.of(OpenRequest.State.PIPELINED, request.arrivedAtMillis())));
        if (firstByteAtMillis >= 0 && !closing) {
            open.add(OpenRequest.of(OpenRequest.State.ARRIVING, firstByteAtMillis));
        }
        return open.stream();
    }

    /** Returns true if another request has arrived, completely or in part, since the one that is being handled. */
    boolean hasFollowingRequest() {
        return !pipelined.isEmpty() || firstByteAtMillis >= 0;
    }

    private boolean hasUnsentOutput() {
        return unsentBytes() > 0;
    }

    private long unsentBytes() {
        ChannelOutboundBuffer output = channel.unsafe().outboundBuffer();
        return output == null ? 0 : output.totalPendingWriteBytes() - output.currentProgress();
    }

    @Override
    public void channelActive(ChannelHandlerContext _context) {
        startIdleTimer();
    }

    /** Called when bytes have arrived, before they are parsed. */
    void onBytesReceived() {
        lastByteAtMillis = loop.nowMillis();
        if (firstByteAtMillis < 0 && activeResponse == null && !closing) {
            firstByteAtMillis = lastByteAtMillis;
            restartTimer(limits().headerTimeoutMillis(), this::onRequestTimeout);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext _context, Object message) {
        try {
            if (closing) {
                return;
            }
            if (message instanceof HttpRequest request) {
                onRequestHead(request);
            }
            if (message instanceof HttpContent content && requestHead != null) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onRequestHead(HttpRequest request) {
        Optional<HttpResponseStatus> rejection = RequestFraming.findRejection(request);
        if (rejection.isPresent()) {
            reject(rejection.get());
            return;
        }
        requestHead = request;
        body = Unpooled.EMPTY_BUFFER;
        if (firstByteAtMillis < 0) {
            firstByteAtMillis = loop.nowMillis();
        }
        if (HttpUtil.isContentLengthSet(request) && HttpUtil.getContentLength(request, 0L) > limits().maxBodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        if (activeResponse == null) {
            restartTimer(limits().idleTimeoutMillis(), this::onBodyTimeout);
        }
    }

    private void onContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            reject(RequestFraming.decodeFailureStatus(content.decoderResult()));
            return;
        }
        if (body.readableBytes() + content.content().readableBytes() > limits().maxBodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (content.content().isReadable()) {
            if (body.capacity() == 0) {
                body = Unpooled.buffer(content.content().readableBytes());
            }
            body.writeBytes(content.content());
        }
        if (content instanceof LastHttpContent) {
            onCompleteRequest();
        }
    }

    private void onCompleteRequest() {
        byte[] bytes = new byte[body.readableBytes()];
        body.readBytes(bytes);
        CallerRequest request = new CallerRequest(
                requestHead.method(),
                requestHead.uri(),
                RequestFraming.parseHostName(requestHead),
                requestHead.headers(),
                Bytes.copyOf(bytes),
                firstByteAtMillis);
        requestHead = null;
        body = Unpooled.EMPTY_BUFFER;
        firstByteAtMillis = -1;
        if (activeResponse != null || !pipelined.isEmpty()) {
            pipelined.add(request);
            channel.config().setAutoRead(pipelined.size() < MAX_PIPELINED_REQUESTS);
            return;
        }
        startRequest(request);
    }

    private void startRequest(CallerRequest request) {
        timer.cancel();
        activeResponse = new ResponseWriter(this, channel, server, request.arrivedAtMillis(), isKeepAlive(request));
        lastArrivedAtMillis = request.arrivedAtMillis();
        if (server.isEnding()) {
            server.onRejected(HttpResponseStatus.SERVICE_UNAVAILABLE.code());
            activeResponse.sendResponse(
                    HttpResponseStatus.SERVICE_UNAVAILABLE.code(),
                    retryLater(new DefaultHttpHeaders()),
                    Unpooled.EMPTY_BUFFER);
        } else {
            server.handler().onRequest(request, activeResponse);
        }
    }

    private static HttpHeaders retryLater(HttpHeaders headers) {
        return headers.set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_END_SECONDS);
    }

    /** Called when a response has been written completely. */
    void onResponseEnded(ResponseWriter response, boolean keepAlive) {
        if (!response.equals(activeResponse)) {
            return;
        }
        activeResponse = null;
        if (!keepAlive && closing) {
            closeAfterRejection();
            return;
        }
        if (!keepAlive) {
            closeAfterResponse();
            return;
        }
        if (pipelined.isEmpty()) {
            startIdleTimer();
        } else {
            // A separate loop task bounds the stack depth when pipelined requests get immediate responses. The
            // request stays queued until then, so that none that arrives meanwhile overtakes it.
            loop.execute(this::startNextRequest);
        }
    }

    private void startNextRequest() {
        if (!closing && activeResponse == null && !pipelined.isEmpty()) {
            channel.config().setAutoRead(true);
            startRequest(pipelined.poll());
        }
    }

    private void reject(HttpResponseStatus status) {
        server.onRejected(status.code());
        if (activeResponse != null) {
            // The response in progress is completed first; the connection is closed after it.
            activeResponse.disableKeepAlive();
            requestHead = null;
            closing = true;
            return;
        }
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        headers.set(HttpHeaderNames.CONTENT_LENGTH, 0);
        if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            retryLater(headers);
        }
        closing = true;
        write(new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER, headers, EmptyHttpHeaders.INSTANCE));
        closeAfterRejection();
    }

    private void closeAfterResponse() {
        // A request that crosses the close stays unread, so that the reset at the end of the lingering close tells its
        // caller that it has not been run.
        channel.config().setAutoRead(false);
        closeAfterOutput();
    }

    private void closeAfterRejection() {
        // The caller may read the response only after it has sent the whole request, so the rest is read and dropped.
        channel.config().setAutoRead(true);
        closeAfterOutput();
    }

    // Closing a socket with unread input sends a reset, which can discard the response before the caller has read it.
    // The connection is therefore closed for output first.
    private void closeAfterOutput() {
        closing = true;
        // The caller has been told that requests after this response are not handled.
        pipelined.clear();
        startInactivityTimer();
        channel.write(Unpooled.EMPTY_BUFFER).addListener(written -> {
            if (written.isSuccess()) {
                ChannelFuture _shutdown = ((SocketChannel) channel).shutdownOutput();
                restartTimer(LINGER_MILLIS, this::closeNow);
            }
        });
        channel.flush();
    }

    private void onRequestTimeout() {
        if (activeResponse == null) {
            reject(HttpResponseStatus.REQUEST_TIMEOUT);
        }
    }

    private void onBodyTimeout() {
        long inactiveMillis = loop.nowMillis() - lastByteAtMillis;
        long remainingMillis = limits().idleTimeoutMillis() - inactiveMillis;
        if (activeResponse != null || requestHead == null) {
            return;
        }
        if (remainingMillis > 0) {
            restartTimer(remainingMillis, this::onBodyTimeout);
        } else {
            reject(HttpResponseStatus.REQUEST_TIMEOUT);
        }
    }

    private void startIdleTimer() {
        if (firstByteAtMillis < 0) {
            startInactivityTimer();
        } else if (requestHead != null) {
            restartTimer(limits().idleTimeoutMillis(), this::onBodyTimeout);
        } else {
            restartTimer(limits().headerTimeoutMillis(), this::onRequestTimeout);
        }
    }

    // Closes the connection once the caller has neither sent anything nor read any of the output for the idle timeout.
    private void startInactivityTimer() {
        long unsentBytes = unsentBytes();
        restartTimer(limits().idleTimeoutMillis(), () -> {
            if (unsentBytes() < unsentBytes) {
                startInactivityTimer();
            } else {
                closeNow();
            }
        });
    }

    private void restartTimer(long delayMillis, Runnable task) {
        timer.cancel();
        timer = loop.schedule(delayMillis, task);
    }

    private CallerLimits limits() {
        return server.limits();
    }

    /** Closes the connection with its current response incomplete. */
    void abort() {
        activeResponse = null;
        closeNow();
    }

    // Connections are persistent by default in HTTP/1.1, the only version accepted.
    private static boolean isKeepAlive(CallerRequest request) {
        return !request.headers().containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
    }

    private void closeNow() {
        closing = true;
        ChannelFuture _closed = channel.close();
    }

    void write(Object message) {
        channel.writeAndFlush(message).addListener(written -> {
            if (written.isSuccess()) {
                lastWrittenAtMillis = loop.nowMillis();
            } else {
                closeNow();
            }
        });
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext _context) {
        if (activeResponse != null) {
            activeResponse.onWritabilityChanged();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext _context) {
        timer.cancel();
        closing = true;
        pipelined.clear();
        server.onClosed(this);
        ResponseWriter abandoned = activeResponse;
        activeResponse = null;
        if (abandoned != null) {
            abandoned.onCallerDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext _context, Throwable cause) {
        server.onConnectionError(cause);
        closeNow();
    }
}
