package io.heatherloft.domain.admission;

import io.heatherloft.domain.BoundedMap;
import io.heatherloft.domain.StableHash;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Admission of the requests of one service at one host: which request is sent next, which waits, and which is refused.
 *
 * <p>A request is {@link #add}ed, then the requests for which there is capacity are taken by {@link #next}, and if it still
 * waits, {@link #settle} decides whether it may. So no request is refused while a known server has capacity for it.
 * Invariants: a waiting request is refused while its caller still has a quarter of the time; one whose response has begun is
 * refused only at its deadline or when the host sends it no more; the queue is bounded, beside those that have begun; a host
 * that stops sends and keeps nothing that {@link StopDeadlines} forbid.
 * Confined to one thread.
 *
 * @param <T> type of the requests
 */
public final class ServiceAdmission<T> {
    // Queues of this length are allowed at any rate, so that a host without recent departures refuses nothing.
    private static final int MIN_CAPACITY = 16;
    // Bounds the memory for the bodies of waiting requests.
    private static final int MAX_CAPACITY = 256;
    // Part of the queue's places that a priority keeps, so that some of its requests become the oldest ones, which get
    // one in eight slots. With an eighth of the places, a sixth of the load got too few of these slots at a load of
    // 1.5.
    private static final int PLACES_DIVISOR = 4;
    private static final int MAX_KNOWN_RETURNS = 4_096;
    // A caller counts as returning if it comes at most this part of the delay early, since clocks and headers are
    // inexact.
    private static final double RETURN_TOLERANCE = 0.1;
    private static final long RETURN_EXPIRY_MILLIS = 10_000L;

    private final AdmissionQueue<T> queue = new AdmissionQueue<>();
    private final FreedSlots freedSlots = new FreedSlots();
    private final Map<String, Return> returns = BoundedMap.withFifoEviction(MAX_KNOWN_RETURNS);
    private StopDeadlines stop = StopDeadlines.NONE;
    private int inProgress;

    private record Return(long earliestMillis, long latestMillis) {}

    /**
     * What is expected for a request.
     *
     * @param ahead number of waiting requests that are expected to be admitted before it
     * @param waitMillis expected wait in milliseconds; empty if it is unknown
     * @param serviceMillis expected time from the admission to the end of the response, in milliseconds; 0 if it is unknown
     */
    public record Estimate(int ahead, OptionalDouble waitMillis, double serviceMillis) {}

    /**
     * A request that is refused.
     *
     * @param displaced true if it is refused in favour of another request
     * @param stopping true if the host stops and another one should take the request
     */
    public record Refusal<T>(AdmissionRequest<T> request, Estimate estimate, boolean displaced, boolean stopping) {}

    /** Sets the deadlines of a host that has begun to stop. */
    public void beginStop(StopDeadlines deadlines) {
        stop = deadlines;
    }

    /** Adds a request to the queue. */
    public void add(AdmissionRequest<T> request) {
        queue.add(request);
    }

    /** Removes a request from the queue, for example because its caller has gone; returns false if it does not wait. */
    public boolean remove(AdmissionRequest<T> request) {
        return queue.remove(request);
    }

    /** Removes and returns the next request that {@code fits} accepts and that may still be sent. */
    public Optional<AdmissionRequest<T>> next(Predicate<AdmissionRequest<T>> fits, long nowMillis) {
        return queue.next(
                request -> stop.maySend(request.deadlineAtMillis(), nowMillis) && fits.test(request), nowMillis);
    }

    /** Returns the number of waiting requests. */
    public int waiting() {
        return queue.size();
    }

    /** Returns the waiting requests in no particular order. */
    public List<AdmissionRequest<T>> waitingRequests() {
        return queue.all().toList();
    }

    /** Records that a request was sent to a server. */
    public void onSent() {
        inProgress++;
    }

    /** Records that a request that was sent has ended without having occupied a slot until its end. */
    public void onFailed() {
        inProgress--;
    }

    /**
     * Records that a request has ended and freed its slot.
     *
     * @param durationMillis time since it was sent
     */
    public void onSlotFreed(double work, long durationMillis, long nowMillis) {
        inProgress--;
        freedSlots.record(work, durationMillis, nowMillis);
    }

    /** Returns what is expected for a request, whether or not it waits already. */
    public Estimate estimate(AdmissionRequest<T> request, long nowMillis) {
        int ahead = queue.ahead(request);
        OptionalDouble rate = freedSlots.perMilli(inProgress, nowMillis);
        return new Estimate(
                ahead,
                rate.isPresent() ? OptionalDouble.of(ahead / rate.getAsDouble()) : OptionalDouble.empty(),
                freedSlots.expectedMillis(request.work()));
    }

    /** Refuses a request that was just added and that this host can send to no server, whatever is in progress there. */
    public Refusal<T> refuseUnsendable(AdmissionRequest<T> request, long nowMillis) {
        return refuse(
                request,
                new Estimate(
                        0, OptionalDouble.of(0), estimate(request, nowMillis).serviceMillis()),
                false);
    }

    /**
     * Decides whether a request that was just added, and for which there is no capacity, may wait.
     *
     * @return the request that is refused, which no longer waits: this one or one that it displaces; empty if none is
     */
    public Optional<Refusal<T>> settle(AdmissionRequest<T> request, long nowMillis) {
        Estimate estimate = estimate(request, nowMillis);
        long latestMillis = latestMillis(request);
        int capacity = capacity(nowMillis);
        if (nowMillis >= latestMillis) {
            return Optional.of(refuse(request, estimate, false));
        }
        if (request.begun()) {
            return Optional.empty();
        }
        boolean full = queue.sizeOfNotBegun() > capacity;
        boolean late = isLate(estimate, 0, latestMillis, nowMillis);
        if (late && stop.outlasts(request.deadlineAtMillis())) {
            // Another host may have capacity for it, so it needs no place that its priority keeps here.
            return Optional.of(refuse(request, estimate, false));
        }
        if ((!full && !late) || queue.sizeOf(request.priority()) <= capacity / PLACES_DIVISOR) {
            return Optional.empty();
        }
        if (late && isLate(estimate, 1, latestMillis, nowMillis)) {
            return Optional.of(refuse(request, estimate, false));
        }
        AdmissionRequest<T> cheapest = cheapestToRefuse(request, late, capacity, nowMillis);
        return Optional.of(
                cheapest.equals(request)
                        ? refuse(request, estimate, false)
                        : refuse(cheapest, estimate(cheapest, nowMillis), true));
    }

    private static boolean isLate(Estimate estimate, int fewerAhead, long latestMillis, long nowMillis) {
        if (estimate.waitMillis().isEmpty() || estimate.ahead() == 0) {
            return false;
        }
        double share = Math.max(0, estimate.ahead() - fewerAhead) / (double) estimate.ahead();
        return nowMillis + share * estimate.waitMillis().getAsDouble() > latestMillis;
    }

    // The time at which a request that still waits is refused.
    private long latestMillis(AdmissionRequest<T> request) {
        double serviceMillis = freedSlots.expectedMillis(request.work());
        return Math.min(
                request.refusedAtMillis(serviceMillis),
                stop.latestSendMillis(request.deadlineAtMillis(), request.begun() ? 0 : serviceMillis));
    }

    // The number of requests that can be served before the last of them would be refused.
    private int capacity(long nowMillis) {
        long lastMillis = queue.all().mapToLong(this::latestMillis).max().orElse(nowMillis);
        double servable = freedSlots.perMilli(inProgress, nowMillis).orElse(0) * Math.max(0, lastMillis - nowMillis);
        return (int) Math.max(MIN_CAPACITY, Math.min(MAX_CAPACITY, servable));
    }

    private AdmissionRequest<T> cheapestToRefuse(
            AdmissionRequest<T> arriving, boolean aheadOnly, int capacity, long nowMillis) {
        Map<String, Long> load =
                queue.all().collect(Collectors.groupingBy(AdmissionRequest::workspace, Collectors.counting()));
        return queue.all()
                .filter(waiting -> waiting.equals(arriving)
                        || (isDisplaceable(waiting, arriving, capacity, nowMillis)
                                && (!aheadOnly || isAhead(waiting, arriving))))
                .max(Comparator.<AdmissionRequest<T>>comparingInt(AdmissionRequest::priority)
                        .thenComparingLong(waiting -> load.get(waiting.workspace()))
                        .thenComparingDouble(AdmissionRequest::work)
                        .thenComparing(waiting -> waiting.equals(arriving)))
                .orElse(arriving);
    }

    private boolean isDisplaceable(
            AdmissionRequest<T> waiting, AdmissionRequest<T> arriving, int capacity, long nowMillis) {
        if (waiting.begun()) {
            return false;
        }
        return waiting.priority() == arriving.priority()
                ? !waiting.isProtected(nowMillis)
                : waiting.priority() > arriving.priority()
                        && queue.sizeOf(waiting.priority()) > capacity / PLACES_DIVISOR;
    }

    private boolean isAhead(AdmissionRequest<T> waiting, AdmissionRequest<T> arriving) {
        return waiting.priority() == arriving.priority()
                && (!waiting.workspace().equals(arriving.workspace())
                        || AdmissionRequest.ORDER.compare(waiting, arriving) <= 0);
    }

    private Refusal<T> refuse(AdmissionRequest<T> request, Estimate estimate, boolean displaced) {
        boolean _removed = queue.remove(request);
        return new Refusal<>(request, estimate, displaced, stop.outlasts(request.deadlineAtMillis()));
    }

    /** Removes and returns the requests that can wait no longer; called when there is no capacity for them. */
    public List<Refusal<T>> refuseOverdue(long nowMillis) {
        return queue.all().filter(request -> nowMillis >= latestMillis(request)).toList().stream()
                .map(request -> refuse(request, estimate(request, nowMillis), false))
                .toList();
    }

    /** Returns the first request that has begun, or goes first in its priority, and that {@code blocked} accepts. */
    public Optional<AdmissionRequest<T>> firstProtected(Predicate<AdmissionRequest<T>> blocked, long nowMillis) {
        return queue.all()
                .filter(request -> request.isProtected(nowMillis))
                .sorted(Comparator.<AdmissionRequest<T>, Boolean>comparing(request -> !request.begun())
                        .thenComparingInt(AdmissionRequest::priority)
                        .thenComparingLong(AdmissionRequest::deadlineAtMillis))
                .filter(blocked)
                .findFirst();
    }

    /**
     * Returns the time in milliseconds after which the caller of a refused request is asked to come back, and remembers
     * that it was.
     *
     * @param attemptId ID of the caller's attempt; empty if it has none
     */
    public long returnDelayMillis(Refusal<T> refusal, Optional<String> attemptId, long nowMillis) {
        long delay = ReturnDelay.millis(
                refusal.estimate().waitMillis(),
                refusal.request().deadlineAtMillis() - nowMillis,
                StableHash.of(attemptId.orElse("")));
        attemptId.ifPresent(id -> returns.put(
                id,
                new Return(
                        nowMillis + (long) ((1 - RETURN_TOLERANCE) * delay),
                        nowMillis + delay + RETURN_EXPIRY_MILLIS)));
        return delay;
    }

    /** Returns true if an arriving request was refused before and comes back not before the time that it was told. */
    public boolean isReturn(Optional<String> attemptId, long nowMillis) {
        return attemptId
                .map(returns::remove)
                .filter(told -> nowMillis >= told.earliestMillis() && nowMillis <= told.latestMillis())
                .isPresent();
    }
}
