package io.heatherloft.entry;

import com.codahale.metrics.MetricRegistry;
import io.heatherloft.router.http.CallerExchange;
import io.heatherloft.router.http.CallerHandler;
import io.heatherloft.router.http.CallerRequest;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.dropwizard.DropwizardExports;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.apache.logging.log4j.LogManager;

/**
 * Serves the host's metrics as text.
 *
 * <p>Confined to the loop's thread.
 */
final class MetricsHandler implements CallerHandler {
    private static final int OK = 200;
    private static final int SERVER_ERROR = 500;

    private final MetricRegistry metrics;

    MetricsHandler(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    @Override
    public void onRequest(CallerRequest _request, CallerExchange exchange) {
        HttpHeaders headers = new DefaultHttpHeaders();
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            new PrometheusTextFormatWriter(false).write(text, new DropwizardExports(metrics).collect());
            headers.set(HttpHeaderNames.CONTENT_TYPE, PrometheusTextFormatWriter.CONTENT_TYPE);
            exchange.sendResponse(OK, headers, Unpooled.wrappedBuffer(text.toByteArray()));
        } catch (IOException exception) {
            LogManager.getLogger(MetricsHandler.class).error("metrics cannot be written", exception);
            exchange.sendResponse(SERVER_ERROR, headers, Unpooled.EMPTY_BUFFER);
        }
    }
}
