package io.heatherloft.entry;

import com.codahale.metrics.MetricRegistry;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.http.CallerServer;
import io.heatherloft.router.http.OpenRequest;
import io.heatherloft.router.log.DecisionLog;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Reports the requests that a host has accepted: their number by state as metrics, and those that a stop finds or ends in the
 * log.
 *
 * <p>Confined to the loop's thread.
 */
final class OpenRequestsReport {
    // Lines for single requests at a stop; the rest is only counted.
    private static final int MAX_LINES = 200;

    private final Loop loop;
    private final CallerServer callers;
    private final DecisionLog log;
    private final MetricRegistry metrics;
    private long endedByStop;

    OpenRequestsReport(Loop loop, CallerServer callers, DecisionLog log, MetricRegistry metrics) {
        this.loop = loop;
        this.callers = callers;
        this.log = log;
        this.metrics = metrics;
        Arrays.stream(OpenRequest.State.values())
                .forEach(state -> metrics.gauge(
                        "requests_open." + state.label(),
                        () -> () -> countByState(callers.openRequests()).getOrDefault(state, 0L)));
    }

    /** Logs an event of the stop with the number of open requests in each state. */
    void logEvent(String event) {
        List<OpenRequest> open = callers.openRequests();
        log.lifecycle(event, line -> {
            line.with("in_progress", open.size())
                    .with("connections", callers.connectionCount())
                    .with("ended_by_stop", endedByStop);
            countByState(open).forEach((state, count) -> line.with(state.label(), count));
        });
    }

    /** Counts and logs the open requests in some states, because the stop is about to end them. */
    void logEndedByStop(Predicate<OpenRequest.State> states) {
        List<OpenRequest> open = callers.openRequests().stream()
                .filter(request -> states.test(request.state()))
                .toList();
        endedByStop += open.size();
        countByState(open).forEach((state, count) -> metrics.counter("requests_ended_by_stop_total." + state.label())
                .inc(count));
        long now = loop.nowMillis();
        open.stream()
                .limit(MAX_LINES)
                .forEach(request -> log.request("ended_by_stop", request.requestId(), line -> {
                    line.with("state", request.state().label()).with("elapsed_ms", now - request.arrivedAtMillis());
                    request.sent().ifPresent(sent -> line.with("backend_id", sent.serverId())
                            .with("sent_ms_ago", now - sent.atMillis()));
                }));
    }

    private static Map<OpenRequest.State, Long> countByState(List<OpenRequest> open) {
        return open.stream()
                .collect(Collectors.groupingBy(
                        OpenRequest::state, () -> new EnumMap<>(OpenRequest.State.class), Collectors.counting()));
    }
}
