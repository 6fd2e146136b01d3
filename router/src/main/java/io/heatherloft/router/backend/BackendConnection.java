package io.heatherloft.router.backend;

import io.heatherloft.ports.loop.Loop;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A connection to a backend server.
 *
 * <p>It is returned to the pool only when the request has been written completely, the response was delimited by a content
 * length or chunked encoding, and no bytes have followed it. Bytes received on an idle connection belong to no request and
 * close the connection. A head that is joined of parts of two responses ends the exchange as broken, because the request may
 * have run. Confined to the loop's thread.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter implements ResponseDecoder.Listener {
    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d{1,6})");
    private static final int FIRST_FINAL_STATUS = 200;
    // Limits on what is discarded while the response to a request is awaited.
    private static final int MAX_INFORMATIONAL_RESPONSES = 16;
    private static final long MAX_DISCARDED_BYTES = 1_048_576L;
    private static final long MILLIS_PER_SECOND = 1_000L;

    private final BackendConnectionPool pool;
    private final Loop loop;
    private final ConnectionPoolSettings settings;
    private final BackendEndpoint endpoint;
    private final ResponseDecoder decoder = new ResponseDecoder(this);
    private Channel channel;
    private FullHttpRequest pendingRequest;
    private Exchange active;
    private Loop.Cancellation idleTimer = () -> {};
    private boolean closed;
    private boolean reset;
    private boolean relayed;
    private boolean requestWritten;
    private boolean responseComplete;
    private boolean reusable;
    private boolean discarding;
    private boolean bytesReceived;
    private boolean first = true;
    private int informationalResponses;
    private long discardedBytes;
    private long idleMillis;
    private long idleSinceMillis;

    BackendConnection(
            BackendConnectionPool pool, Loop loop, ConnectionPoolSettings settings, BackendEndpoint endpoint) {
        this.pool = pool;
        this.loop = loop;
        this.settings = settings;
        this.endpoint = endpoint;
    }

    BackendEndpoint endpoint() {
        return endpoint;
    }

    /** Returns true if the connection can carry another request. */
    boolean isUsable() {
        // The idle timer may fire late after a pause of the process, so the idle time is checked here as well.
        return !closed && channel.isActive() && loop.nowMillis() - idleSinceMillis < idleMillis;
    }

    /** Returns the decoder that the channel needs in front of this connection. */
    ResponseDecoder decoder() {
        return decoder;
    }

    BackendExchange startExchange(FullHttpRequest request, ResponseListener listener) {
        idleTimer.cancel();
        decoder.setMethod(request.method());
        active = new Exchange(listener);
        pool.onExchangeStart(this);
        requestWritten = false;
        responseComplete = false;
        reusable = true;
        discarding = false;
        bytesReceived = false;
        informationalResponses = 0;
        discardedBytes = 0;
        if (channel == null) {
            pendingRequest = request;
        } else {
            write(request);
        }
        return active;
    }

    void onConnected(Channel connected) {
        channel = connected;
        if (closed) {
            closeChannel();
        } else if (active != null) {
            FullHttpRequest request = pendingRequest;
            pendingRequest = null;
            if (pool.mayUse(endpoint)) {
                write(request);
            } else {
                request.release();
                fail(ExchangeFailure.Kind.NOT_SENT, "no request may be sent to the server any more");
            }
        }
    }

    /** Called when no connection to the server could be established, directly or through another host. */
    void onConnectFailed(String reason, boolean refused, boolean confirmed) {
        fail(new ExchangeFailure(ExchangeFailure.Kind.NOT_SENT, "connect failed: " + reason, refused, confirmed));
    }

    /** Marks the connection as one through another host. */
    void setRelayed() {
        relayed = true;
    }

    boolean isRelayed() {
        return relayed;
    }

    boolean isClosed() {
        return closed;
    }

    void close() {
        if (!closed) {
            closed = true;
            idleTimer.cancel();
            ReferenceCountUtil.release(pendingRequest);
            pendingRequest = null;
            pool.onClosed(this);
            closeChannel();
        }
    }

    private void closeAfterUnsolicitedBytes() {
        pool.onUnsolicitedBytes(this);
        close();
    }

    private void closeChannel() {
        if (channel != null) {
            ChannelFuture _closed = channel.close();
        }
    }

    private void write(FullHttpRequest request) {
        if (!channel.isActive()) {
            request.release();
            fail(ExchangeFailure.Kind.NOT_SENT, "idle connection was closed before the request was sent");
            return;
        }
        ChannelFuture writing = channel.writeAndFlush(request);
        writing.addListener(_done -> {
            if (writing.isSuccess()) {
                requestWritten = true;
                releaseIfComplete();
            } else {
                fail(
                        ExchangeFailure.Kind.BROKEN,
                        "writing the request failed: " + writing.cause().getMessage());
            }
        });
    }

    @Override
    public boolean onBytes() {
        if (active == null || responseComplete) {
            closeAfterUnsolicitedBytes();
            return false;
        }
        if (!bytesReceived) {
            bytesReceived = true;
            active.listener.onFirstByte();
        }
        return true;
    }

    @Override
    public void channelRead(ChannelHandlerContext _context, Object message) {
        pool.onReceived();
        try {
            if (active == null || responseComplete) {
                close();
                return;
            }
            if (message instanceof HttpResponse response) {
                onHeaders(response);
            }
            if (message instanceof HttpContent content && active != null) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onHeaders(HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            fail(ExchangeFailure.Kind.BROKEN, "response headers cannot be parsed");
            return;
        }
        if (ResponseHeads.isJoined(response)) {
            fail(ExchangeFailure.Kind.BROKEN, "response headers are joined of parts of two responses");
            return;
        }
        if (response.status().code() < FIRST_FINAL_STATUS) {
            discarding = true;
            informationalResponses++;
            if (informationalResponses > MAX_INFORMATIONAL_RESPONSES) {
                fail(ExchangeFailure.Kind.BROKEN, "too many informational responses");
            }
            return;
        }
        discarding = !active.listener.onHeaders(response.status().code(), response.headers());
        if (active == null) {
            return;
        }
        boolean framed = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
        // A discarded response means that the responses on this connection no longer match the requests.
        reusable &= !discarding && framed && HttpUtil.isKeepAlive(response);
        idleMillis = idleMillisFor(response);
    }

    private long idleMillisFor(HttpResponse response) {
        Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(response.headers().get(HttpHeaderNames.KEEP_ALIVE, ""));
        if (!matcher.find()) {
            return settings.defaultIdleMillis();
        }
        long serverIdleMillis = Long.parseLong(matcher.group(1)) * MILLIS_PER_SECOND;
        return Math.min(settings.maxIdleMillis(), serverIdleMillis - settings.idleMarginMillis());
    }

    private void onContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            fail(ExchangeFailure.Kind.BROKEN, "response body cannot be parsed");
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (discarding) {
            discarding &= !last;
            discardedBytes += content.content().readableBytes();
            if (discardedBytes > MAX_DISCARDED_BYTES) {
                fail(ExchangeFailure.Kind.BROKEN, "too much data that belongs to no request");
            }
            return;
        }
        ByteBuf chunk = content.content();
        if (chunk.isReadable()) {
            active.listener.onContent(chunk);
        }
        if (last && active != null) {
            onResponseComplete();
        }
    }

    private void onResponseComplete() {
        if (reset) {
            fail(ExchangeFailure.Kind.BROKEN, "connection was reset before the response was complete");
            return;
        }
        ResponseListener listener = active.listener;
        responseComplete = true;
        active = null;
        pool.onExchangeEnd(this);
        releaseIfComplete();
        listener.onComplete();
    }

    private void releaseIfComplete() {
        if (!responseComplete || closed) {
            return;
        }
        if (decoder.hasUndecodedBytes()) {
            closeAfterUnsolicitedBytes();
        } else if (!reusable || idleMillis <= 0) {
            close();
        } else if (requestWritten) {
            responseComplete = false;
            idleSinceMillis = loop.nowMillis();
            channel.config().setAutoRead(true);
            idleTimer = loop.schedule(idleMillis, this::close);
            first = false;
            pool.release(this);
        }
    }

    private void fail(ExchangeFailure.Kind kind, String reason) {
        fail(new ExchangeFailure(kind, reason));
    }

    private void fail(ExchangeFailure failure) {
        Exchange failed = active;
        active = null;
        pool.onExchangeEnd(this);
        close();
        if (failed != null) {
            failed.listener.onFailure(failure);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext _context) {
        fail(
                ExchangeFailure.Kind.BROKEN,
                reset ? "connection was reset" : "connection was closed before the response was complete");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext _context, Throwable cause) {
        reset = true;
        fail(ExchangeFailure.Kind.BROKEN, "connection failed: " + cause.getMessage());
    }

    /** An exchange on this connection; its methods have no effect once it has ended. */
    private final class Exchange implements BackendExchange {
        private final ResponseListener listener;

        Exchange(ResponseListener listener) {
            this.listener = listener;
        }

        @Override
        public boolean isSent() {
            return active == this && requestWritten;
        }

        @Override
        public boolean isRelayed() {
            return BackendConnection.this.isRelayed();
        }

        @Override
        public boolean isFirst() {
            return first;
        }

        @Override
        public void cancel() {
            if (active == this) {
                active = null;
                pool.onExchangeEnd(BackendConnection.this);
                close();
            }
        }

        @Override
        public void setAutoRead(boolean reading) {
            if (active == this && channel != null) {
                channel.config().setAutoRead(reading);
            }
        }
    }
}
