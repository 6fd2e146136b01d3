package io.heatherloft.router.http;

import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.route.CallerLimits;
import io.heatherloft.ports.loop.Loop;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
import java.util.Deque;
import java.util.Optional;

/**
 * One connection of a caller: collects whole requests, hands them out one at a time and writes their answers in order.
 *
 * <p>Invariants: at most one request is being answered; a request that arrives meanwhile waits. After a fault of
 * framing nothing more is read from the connection, since what follows cannot be told apart from a second request.
 * Confined to the loop's thread.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    // Requests that a caller may send ahead on one connection before its bytes are left unread.
    private static final int MAX_PIPELINED_REQUESTS = 8;
    // Time for a caller to read an answer that ends its connection before the rest of its request is refused.
    private static final long LINGER_MILLIS = 1_000L;

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
    private boolean closing;

    CallerConnection(Loop loop, CallerServer server, Channel channel) {
        this.loop = loop;
        this.server = server;
        this.channel = channel;
    }

    /** Closes the connection if no request is being read or answered. */
    void closeIfIdle() {
        if (activeResponse == null && firstByteAtMillis < 0) {
            closeNow();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext _context) {
        startIdleTimer();
    }

    /** Bytes have arrived, before they are parsed. */
    void onBytesReceived() {
        lastByteAtMillis = loop.nowMillis();
        if (firstByteAtMillis < 0 && activeResponse == null) {
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
        Optional<HttpResponseStatus> fault = RequestFraming.findRejection(request);
        if (fault.isPresent()) {
            reject(fault.get());
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
        if (activeResponse != null) {
            pipelined.add(request);
            channel.config().setAutoRead(pipelined.size() < MAX_PIPELINED_REQUESTS);
            return;
        }
        startRequest(request);
    }

    private void startRequest(CallerRequest request) {
        timer.cancel();
        activeResponse = new ResponseWriter(this, channel, server, isKeepAlive(request));
        server.handler().onRequest(request, activeResponse);
    }

    /** An answer was written in full. */
    void onResponseEnded(ResponseWriter exchange, boolean keepAlive) {
        if (!exchange.equals(activeResponse)) {
            return;
        }
        activeResponse = null;
        if (!keepAlive) {
            closeAfterResponse();
            return;
        }
        CallerRequest next = pipelined.poll();
        if (next != null) {
            channel.config().setAutoRead(true);
            // A new turn of the loop bounds the depth of the stack when answers are immediate.
            loop.execute(() -> {
                if (!closing && activeResponse == null) {
                    startRequest(next);
                }
            });
        } else {
            startIdleTimer();
        }
    }

    private void reject(HttpResponseStatus status) {
        server.onRejected(status.code());
        if (activeResponse != null) {
            // The answer in progress goes first; its end closes the connection.
            activeResponse.disableKeepAlive();
            requestHead = null;
            closing = true;
            return;
        }
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        headers.set(HttpHeaderNames.CONTENT_LENGTH, 0);
        closing = true;
        write(new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER, headers, EmptyHttpHeaders.INSTANCE));
        closeAfterResponse();
    }

    private void closeAfterResponse() {
        closing = true;
        timer.cancel();
        // Unread bytes would turn the close into a reset that can overtake the answer, so they are read and dropped.
        channel.config().setAutoRead(true);
        channel.write(Unpooled.EMPTY_BUFFER).addListener(_written -> {
            ChannelFuture _shutdown = ((SocketChannel) channel).shutdownOutput();
        });
        channel.flush();
        timer = loop.schedule(LINGER_MILLIS, this::closeNow);
    }

    private void onRequestTimeout() {
        if (activeResponse == null) {
            reject(HttpResponseStatus.REQUEST_TIMEOUT);
        }
    }

    private void onBodyTimeout() {
        long silentMillis = loop.nowMillis() - lastByteAtMillis;
        long leftMillis = limits().idleTimeoutMillis() - silentMillis;
        if (activeResponse != null || requestHead == null) {
            return;
        }
        if (leftMillis > 0) {
            restartTimer(leftMillis, this::onBodyTimeout);
        } else {
            reject(HttpResponseStatus.REQUEST_TIMEOUT);
        }
    }

    private void startIdleTimer() {
        if (firstByteAtMillis < 0) {
            restartTimer(limits().idleTimeoutMillis(), this::closeNow);
        } else {
            restartTimer(limits().headerTimeoutMillis(), this::onRequestTimeout);
        }
    }

    private void restartTimer(long delayMillis, Runnable task) {
        timer.cancel();
        timer = loop.schedule(delayMillis, task);
    }

    private CallerLimits limits() {
        return server.limits();
    }

    /** An answer is not going to be completed. */
    void abort() {
        activeResponse = null;
        closeNow();
    }

    // HTTP/1.1 keeps connections open unless a side says otherwise; no other version is accepted.
    private static boolean isKeepAlive(CallerRequest request) {
        return !request.headers().containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
    }

    private void closeNow() {
        closing = true;
        ChannelFuture _closed = channel.close();
    }

    void write(Object message) {
        channel.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
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
        ResponseWriter left = activeResponse;
        activeResponse = null;
        if (left != null) {
            left.onCallerDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext _context, Throwable cause) {
        server.onConnectionError(cause);
        closeNow();
    }
}
