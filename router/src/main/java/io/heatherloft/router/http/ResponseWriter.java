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
 * Writes the answer to one request on its connection.
 *
 * <p>Invariant: nothing is written after the end of the answer. Confined to the loop's thread.
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
    private Listener listener = NO_LISTENER;
    private boolean keepAlive;
    private boolean ended;

    ResponseWriter(CallerConnection connection, Channel channel, CallerServer server, boolean keepAlive) {
        this.connection = connection;
        this.channel = channel;
        this.server = server;
        this.keepAlive = keepAlive;
    }

    /** The connection ends with this answer. */
    void disableKeepAlive() {
        keepAlive = false;
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
    public void sendChunk(ByteBuf part) {
        if (ended) {
            part.release();
        } else {
            connection.write(new DefaultHttpContent(part));
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
        keepAlive &= !server.isDraining();
        if (!keepAlive) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return headers;
    }

    private void finish() {
        ended = true;
        listener = NO_LISTENER;
        // The header of a stream may have left before the drain began.
        connection.onResponseEnded(this, keepAlive && !server.isDraining());
    }
}
