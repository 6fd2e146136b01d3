package io.heatherloft.daemon;

import com.codahale.metrics.MetricRegistry;

/**
 * The counts that one host keeps; they are the first place to look, before the log.
 *
 * <p>Invariant: a name never changes its meaning. Safe for use by several threads.
 */
public final class Counters {
    private final MetricRegistry registry;

    /** Creates counters in a registry. */
    public Counters(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Returns the registry, for timers and gauges. */
    public MetricRegistry registry() {
        return registry;
    }

    /** Counts one event. */
    public void count(String name) {
        registry.counter(name).inc();
    }

    /** Records a duration in milliseconds. */
    public void recordMillis(String name, long millis) {
        registry.histogram(name).update(millis);
    }

    /** Returns the present count. */
    public long value(String name) {
        return registry.counter(name).getCount();
    }
}
