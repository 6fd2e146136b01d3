package io.heatherloft.router.log;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.heatherloft.ports.loop.Loop;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Structured log of decisions on requests, state changes and lifecycle events of the process.
 *
 * <p>A token bucket limits the rate to {@link #MAX_LINES_PER_SECOND} on average. Lines above the limit are dropped; their
 * number is reported in the next line that is written. Confined to the loop's thread.
 */
public final class DecisionLog {
    /**
     * Average rate limit and burst size. Ten times the lines that one host writes at a peak of 8,900 requests per second
     * on 360 hosts.
     */
    public static final int MAX_LINES_PER_SECOND = 500;

    private static final long MILLIS_PER_SECOND = 1_000L;

    private final Loop loop;
    private final String host;
    private final Predicate<StringMapMessage> sink;
    private final Counter written;
    private final Counter dropped;
    private double availableTokens = MAX_LINES_PER_SECOND;
    private long lastRefillMillis;
    private long unreportedDrops;

    /**
     * Creates the log of a host.
     *
     * @param sink accepts a line without blocking; returns false if the line was rejected because the sink is full
     */
    public DecisionLog(Loop loop, String host, MetricRegistry metrics, Predicate<StringMapMessage> sink) {
        this.sink = sink;
        this.loop = loop;
        this.host = host;
        this.written = metrics.counter("log_lines_written_total");
        this.dropped = metrics.counter("log_lines_dropped_total");
        this.lastRefillMillis = loop.nowMillis();
    }

    /** Logs a decision on a request. */
    public void request(String decision, String requestId, Consumer<StringMapMessage> fields) {
        write("request", decision, line -> {
            line.with("request_id", requestId);
            fields.accept(line);
        });
    }

    /** Logs a change of the process's state, such as a new configuration or a backend server that joined. */
    public void stateChange(String subject, Consumer<StringMapMessage> fields) {
        write("belief", subject, fields);
    }

    /** Logs a start, stop or reload of the process, or a dependency that was lost or regained. */
    public void lifecycle(String event, Consumer<StringMapMessage> fields) {
        write("lifecycle", event, fields);
    }

    private void write(String kind, String name, Consumer<StringMapMessage> fields) {
        if (!tryAcquire()) {
            dropped.inc();
            unreportedDrops++;
            return;
        }
        StringMapMessage line = new StringMapMessage();
        line.with("time_ms", loop.nowMillis());
        line.with("host", host);
        line.with("kind", kind);
        line.with("event", name);
        fields.accept(line);
        if (unreportedDrops > 0) {
            line.with("lines_dropped_before", unreportedDrops);
            unreportedDrops = 0;
        }
        if (sink.test(line)) {
            written.inc();
        } else {
            dropped.inc();
            unreportedDrops++;
        }
    }

    private boolean tryAcquire() {
        long now = loop.nowMillis();
        availableTokens = Math.min(
                MAX_LINES_PER_SECOND,
                availableTokens + (now - lastRefillMillis) * MAX_LINES_PER_SECOND / (double) MILLIS_PER_SECOND);
        lastRefillMillis = now;
        if (availableTokens < 1) {
            return false;
        }
        availableTokens -= 1;
        return true;
    }
}
