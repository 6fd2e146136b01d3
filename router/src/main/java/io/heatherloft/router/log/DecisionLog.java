package io.heatherloft.router.log;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.heatherloft.ports.loop.Loop;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Writes one line for each decision about a request or a belief of the process.
 *
 * <p>Invariant: writes at most {@link #MAX_LINES_PER_SECOND} lines in a second on average; what is above that is counted and
 * the count is written with a later line. Confined to the loop's thread.
 */
public final class DecisionLog {
    /** Lines written in a second; ten times the lines of a host's share of the peak of 8,900 requests on 360 hosts. */
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
     * Creates a log for a host.
     *
     * @param sink takes a line without waiting; returns false if it has no room
     */
    public DecisionLog(Loop loop, String host, MetricRegistry metrics, Predicate<StringMapMessage> sink) {
        this.sink = sink;
        this.loop = loop;
        this.host = host;
        this.written = metrics.counter("log_lines_written_total");
        this.dropped = metrics.counter("log_lines_dropped_total");
        this.lastRefillMillis = loop.nowMillis();
    }

    /** Writes a decision about a request. */
    public void request(String decision, String requestId, Consumer<StringMapMessage> fields) {
        write("request", decision, line -> {
            line.with("request_id", requestId);
            fields.accept(line);
        });
    }

    /** Writes a change of what the process believes. */
    public void stateChange(String subject, Consumer<StringMapMessage> fields) {
        write("belief", subject, fields);
    }

    /** Writes a start, stop, reload, or a dependency that was lost or regained. */
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
                MAX_LINES_PER_SECOND, availableTokens + (now - lastRefillMillis) * MAX_LINES_PER_SECOND / (double) MILLIS_PER_SECOND);
        lastRefillMillis = now;
        if (availableTokens < 1) {
            return false;
        }
        availableTokens -= 1;
        return true;
    }
}
