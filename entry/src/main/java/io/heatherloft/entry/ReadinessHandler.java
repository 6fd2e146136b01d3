package io.heatherloft.entry;

import io.heatherloft.platform.PlatformSettings;
import io.heatherloft.router.http.CallerExchange;
import io.heatherloft.router.http.CallerHandler;
import io.heatherloft.router.http.CallerRequest;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.function.BooleanSupplier;

/**
 * Tells the balancer whether the host takes new connections.
 *
 * <p>Confined to the loop's thread.
 */
final class ReadinessHandler implements CallerHandler {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    private final BooleanSupplier ready;

    ReadinessHandler(BooleanSupplier ready) {
        this.ready = ready;
    }

    @Override
    public void onRequest(CallerRequest request, CallerExchange exchange) {
        int status = request.path().equals(PlatformSettings.READINESS_PATH)
                ? ready.getAsBoolean() ? OK : UNAVAILABLE
                : NOT_FOUND;
        exchange.sendResponse(status, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
    }
}
