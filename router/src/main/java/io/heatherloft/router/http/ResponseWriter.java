package io.heatherloft.router.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Writes the response to one request to its connection.
 *
 * <p>Invariant: nothing is written after the end of the response. Confined to the loop's thread.
 */
final class ResponseWriter implements CallerExchange {
    private static final Listener NO_LISTENER = new Listener() {
        @Override
        public void onCallerDisconnected() {}

        @Override
        public void onWritabilityChanged() {}
    };

    private final CallerConnection connection;
    private final Channel channel;
    private final CallerServer server;
    private final long arrivedAtMillis;
    private Listener listener = NO_LISTENER;
    private boolean keepAlive;
    private boolean ended;

    ResponseWriter(
            CallerConnection connection,
            Channel channel,
            CallerServer server,
            long arrivedAtMillis,
            boolean keepAlive) {
        this.connection = connection;
        this.channel = channel;
        this.server = server;
        this.arrivedAtMillis = arrivedAtMillis;
        this.keepAlive = keepAlive;
    }

    /** Closes the connection after this response. */
    void disableKeepAlive() {
        keepAlive = false;
    }

    OpenRequest describe() {
        return listener.describe(arrivedAtMillis);
    }

    void onHostStopping() {
        listener.onHostStopping();
    }

    void onWritabilityChanged() {
        listener.onWritabilityChanged();
    }

    void onCallerDisconnected() {
        ended = true;
        listener.onCallerDisconnected();
    }

    @Override
    public void sendResponse(int status, HttpHeaders headers, ByteBuf content) {
        if (ended) {
            content.release();
            return;
        }
        headers.set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        connection.write(new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                content,
                addConnectionHeader(headers),
                EmptyHttpHeaders.INSTANCE));
        finish();
    }

    @Override
    public void startStream(int status, HttpHeaders headers) {
        if (!ended) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            connection.write(new DefaultHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), addConnectionHeader(headers)));
        }
    }

    @Override
    public void sendChunk(ByteBuf chunk) {
        if (ended) {
            chunk.release();
        } else {
            connection.write(new DefaultHttpContent(chunk));
        }
    }

    @Override
    public void endStream() {
        if (!ended) {
            connection.write(LastHttpContent.EMPTY_LAST_CONTENT);
            finish();
        }
    }

    @Override
    public void abort() {
        if (!ended) {
            ended = true;
            connection.abort();
        }
    }

    @Override
    public boolean hasEnded() {
        return ended;
    }

    @Override
    public boolean isWritable() {
        return channel.isWritable();
    }

    @Override
    public void setListener(Listener newListener) {
        this.listener = newListener;
    }

    private HttpHeaders addConnectionHeader(HttpHeaders headers) {
        keepAlive &= mayFollow();
        if (!keepAlive) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return headers;
    }

    private void finish() {
        ended = true;
        listener = NO_LISTENER;
        // Draining may have begun after the headers of a stream were sent without "Connection: close".
        connection.onResponseEnded(this, keepAlive && mayFollow());
    }

    // A server that drains still answers the requests that it has read.
    private boolean mayFollow() {
        return !server.isDraining() || connection.hasFollowingRequest();
    }
}
