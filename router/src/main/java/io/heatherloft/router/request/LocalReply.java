package io.heatherloft.router.request;

import io.heatherloft.router.http.CallerExchange;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;

/**
 * Sends responses that the router generates itself.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class LocalReply {
    private LocalReply() {}

    /**
     * Ends a request with the status of a refusal and an empty body.
     *
     * @param retryAfterSeconds value of the Retry-After header; 0 to omit the header
     */
    static void send(CallerExchange exchange, HttpHeaders headers, RefusalReason reason, double retryAfterSeconds) {
        if (retryAfterSeconds > 0) {
            headers.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", retryAfterSeconds));
        }
        exchange.sendResponse(reason.status(), headers, Unpooled.EMPTY_BUFFER);
    }
}
