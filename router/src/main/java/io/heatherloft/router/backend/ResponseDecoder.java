package io.heatherloft.router.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.ReferenceCountUtil;
import java.util.regex.Pattern;

/**
 * Decodes the responses on a connection to a backend server.
 *
 * <p>Invariant: bytes that arrive while no response is awaited are never decoded, so they cannot become the beginning of
 * the next response. A message whose status HTTP does not define, or that switches protocols, which no request asks for, is
 * reported as one that cannot be parsed. Confined to the loop's thread.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_HEADER_BYTES = 16_384;
    private static final Pattern STATUS_CODE = Pattern.compile("[1-5][0-9]{2}");
    private static final String SWITCHING_PROTOCOLS = "101";

    private final Listener listener;
    private HttpMethod method = HttpMethod.GET;

    /** Receives what can be told of bytes before they are decoded. */
    interface Listener {
        /**
         * Called when bytes have arrived.
         *
         * @return false if no response is awaited; the bytes are then discarded
         */
        boolean onBytes();
    }

    ResponseDecoder(Listener listener) {
        super(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES));
        this.listener = listener;
    }

    /** Sets the method of the request whose response is awaited; a response to HEAD has no body. */
    void setMethod(HttpMethod method) {
        this.method = method;
    }

    /** Returns true if bytes have arrived that are part of no complete message yet. */
    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof ByteBuf bytes && bytes.isReadable() && !listener.onBytes()) {
            ReferenceCountUtil.release(message);
            return;
        }
        super.channelRead(context, message);
    }

    // Checked as text, since signs and further digits are lost in the number.
    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        String code = statusLine[1];
        if (!STATUS_CODE.matcher(code).matches() || code.equals(SWITCHING_PROTOCOLS)) {
            throw new IllegalArgumentException("'" + code + "' is not the status of a response");
        }
        return super.createMessage(statusLine);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        boolean informational = message instanceof HttpResponse response
                && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        return (method.equals(HttpMethod.HEAD) && !informational) || super.isContentAlwaysEmpty(message);
    }
}
