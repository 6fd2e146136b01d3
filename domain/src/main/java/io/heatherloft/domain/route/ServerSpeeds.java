package io.heatherloft.domain.route;

import io.heatherloft.domain.BoundedMap;
import java.util.Map;

/**
 * Response times of backend servers relative to those of their service's servers for the same kind of request.
 *
 * <p>The factor of a server is 1 if it is as fast as the others and 2 if it takes twice as long. It is learned from this host's
 * responses and from what other hosts report of theirs, smoothed, and returns to 1 while nothing is learned, so that a server
 * that was slow is tried again. Servers are known by their incarnation. Invariants: factors are between {@value #MIN_FACTOR} and
 * {@value #MAX_FACTOR}; only this host's responses are reported to others, so that hosts do not confirm each other's
 * reports; the numbers of servers and kinds are bounded. Confined to one thread.
 */
public final class ServerSpeeds {
    public static final double MIN_FACTOR = 0.25;
    public static final double MAX_FACTOR = 8.0;

    private static final long FADE_MILLIS = 10_000L;
    // One response that is slow for a reason of its own raises the factor to at most 1.9.
    private static final double SERVER_WEIGHT = 0.3;
    // A host of a large fleet receives about one response of a kind per second.
    private static final double KIND_WEIGHT = 0.1;
    private static final int MIN_RESPONSES_OF_KIND = 8;
    // A kind's typical time moves by at most this part with each response, so that a slow server hardly changes it.
    private static final double MAX_KIND_DEVIATION = Math.log(2);
    // Differences below this are mostly due to cached prompts. They are not worth the bytes of a report.
    private static final double MIN_REPORTED_DEVIATION = Math.log(1.5);
    // Other hosts fade a report from its creation, so it must not repeat an old response.
    private static final long MAX_REPORTED_AGE_MILLIS = 2_000L;
    private static final int MAX_SERVERS = 2_048;
    private static final int MAX_KINDS = 512;

    // In insertion order, since a factor is read for each candidate of each request and must be cheap to read.
    private final Map<Long, Learned> byServer = BoundedMap.withFifoEviction(MAX_SERVERS);
    private final Map<String, TypicalTime> byKind = BoundedMap.withLruEviction(MAX_KINDS);

    /**
     * Records the time that a server took to begin its answer.
     *
     * @param server hash of the server's incarnation
     * @param kind service, route and model of the request
     * @param firstByteMillis time from the send to the first byte, or the first event of a stream
     */
    public void recordResponse(long server, String kind, long firstByteMillis, long nowMillis) {
        double logMillis = Math.log((double) Math.max(1, firstByteMillis));
        TypicalTime typical = byKind.computeIfAbsent(kind, _kind -> new TypicalTime(logMillis));
        if (typical.responses >= MIN_RESPONSES_OF_KIND) {
            double logRatio = bounded(logMillis - typical.logMillis);
            Learned learned = byServer.computeIfAbsent(server, _server -> new Learned());
            learned.own.add(logRatio, nowMillis);
            learned.combined.add(logRatio, nowMillis);
        }
        typical.add(logMillis);
    }

    /** Records the factor that another host has learned from its own responses. */
    public void recordReport(long server, double factor, long createdAtMillis) {
        if (factor > 0 && Double.isFinite(factor)) {
            byServer.computeIfAbsent(server, _server -> new Learned())
                    .combined
                    .add(bounded(Math.log(factor)), createdAtMillis);
        }
    }

    /** Returns the factor of a server; 1 if nothing is known. */
    public double factor(long server, long nowMillis) {
        Learned learned = byServer.get(server);
        double logFactor = learned == null ? 0 : learned.combined.at(nowMillis);
        return logFactor == 0 ? 1 : Math.exp(logFactor);
    }

    /** Returns the factor to be reported to other hosts; 0 if it is unknown, old or close to 1. */
    public double reportedFactor(long server, long nowMillis) {
        Learned learned = byServer.get(server);
        if (learned == null || nowMillis - learned.own.atMillis > MAX_REPORTED_AGE_MILLIS) {
            return 0;
        }
        double logFactor = learned.own.at(nowMillis);
        return Math.abs(logFactor) < MIN_REPORTED_DEVIATION ? 0 : Math.exp(logFactor);
    }

    private static double bounded(double logFactor) {
        return Math.max(Math.log(MIN_FACTOR), Math.min(Math.log(MAX_FACTOR), logFactor));
    }

    private static final class Learned {
        private final FadingAverage own = new FadingAverage();
        private final FadingAverage combined = new FadingAverage();
    }

    /** A smoothed logarithm of a factor, which fades to 0. */
    private static final class FadingAverage {
        private double value;
        private long atMillis = Long.MIN_VALUE / 2;

        double at(long nowMillis) {
            long age = Math.max(0, nowMillis - atMillis);
            return age >= FADE_MILLIS ? 0 : value * (FADE_MILLIS - age) / FADE_MILLIS;
        }

        void add(double logFactor, long observedAtMillis) {
            // A report that arrives late may be older than what is known.
            long newestMillis = Math.max(atMillis, observedAtMillis);
            double known = at(newestMillis);
            value = known + SERVER_WEIGHT * (logFactor - known);
            atMillis = newestMillis;
        }
    }

    /** The typical time of a kind of request: the smoothed logarithm of its times on all servers. */
    private static final class TypicalTime {
        private double logMillis;
        private int responses;

        TypicalTime(double logMillis) {
            this.logMillis = logMillis;
        }

        void add(double responseLogMillis) {
            responses++;
            // The mean of the first responses, since the very first may be far from typical.
            double weight = Math.max(KIND_WEIGHT, 1.0 / responses);
            double deviation = responseLogMillis - logMillis;
            logMillis += weight * Math.max(-MAX_KIND_DEVIATION, Math.min(MAX_KIND_DEVIATION, deviation));
        }
    }
}
