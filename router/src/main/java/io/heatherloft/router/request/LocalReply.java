package io.heatherloft.router.request;

import io.heatherloft.router.http.CallerExchange;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;

/**
 * Sends the answers that the router itself gives.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class LocalReply {
    private LocalReply() {}

    /**
     * Ends a request with a refusal.
     *
     * @param retryAfterSeconds time after which the caller may come again; 0 to tell none
     */
    static void send(CallerExchange exchange, HttpHeaders headers, RefusalReason reason, double retryAfterSeconds) {
        if (retryAfterSeconds > 0) {
            headers.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", retryAfterSeconds));
        }
        exchange.sendResponse(reason.status(), headers, Unpooled.EMPTY_BUFFER);
    }
}
