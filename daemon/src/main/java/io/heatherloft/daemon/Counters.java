package io.heatherloft.daemon;

import com.codahale.metrics.MetricRegistry;

/**
 * Counters and histograms of one host, kept in a metric registry.
 *
 * <p>Invariant: a metric name never changes its meaning. Thread-safe.
 */
public final class Counters {
    private final MetricRegistry registry;

    /** Creates counters that are registered in the given registry. */
    public Counters(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Returns the registry, for registering other kinds of metrics such as gauges. */
    public MetricRegistry registry() {
        return registry;
    }

    /** Increments a counter by one. */
    public void count(String name) {
        registry.counter(name).inc();
    }

    /** Adds a duration in milliseconds to a histogram. */
    public void recordMillis(String name, long millis) {
        registry.histogram(name).update(millis);
    }

    /** Returns the current value of a counter. */
    public long value(String name) {
        return registry.counter(name).getCount();
    }
}
