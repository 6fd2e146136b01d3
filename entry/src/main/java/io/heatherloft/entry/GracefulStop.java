package io.heatherloft.entry;

import io.heatherloft.domain.admission.StopDeadlines;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.http.CallerServer;
import io.heatherloft.router.http.OpenRequest;
import java.util.function.Consumer;

/**
 * Stops serving callers, in phases: connections are accepted as before, until the load balancer has removed the host; then those
 * without an open request are closed, and each other one after its last response; requests that are still open shortly before
 * the end of the grace period get a final response, and only streams that have begun are cut; last, callers read what is in
 * the buffers.
 *
 * <p>Invariants: the callers' server alone knows which requests are open; the stop ends once it has no connection, or at the end
 * of the last phase; from the end of requests on, none reaches a server. Confined to the loop's thread.
 */
final class GracefulStop {
    private static final long POLL_MILLIS = 50L;

    private final Loop loop;
    private final CallerServer callers;
    private final OpenRequestsReport report;
    private final StopPhases phases;
    private final Consumer<StopDeadlines> beginListener;
    private boolean requestsEnded;

    /**
     * Creates a stop that has not begun.
     *
     * @param beginListener receives the deadlines when the stop begins
     */
    GracefulStop(
            Loop loop,
            CallerServer callers,
            OpenRequestsReport report,
            StopPhases phases,
            Consumer<StopDeadlines> beginListener) {
        this.loop = loop;
        this.callers = callers;
        this.report = report;
        this.phases = phases;
        this.beginListener = beginListener;
    }

    /** Begins the stop; must be called once. */
    void begin(Runnable endListener) {
        long startMillis = loop.nowMillis();
        report.logEvent("stop");
        beginListener.accept(
                new StopDeadlines(startMillis + phases.acceptEndMillis(), startMillis + phases.requestEndMillis()));
        loop.schedule(phases.lastResponseMillis(), callers::drain);
        loop.schedule(phases.acceptEndMillis(), () -> {
            callers.stopAccepting();
            awaitCallers(startMillis, endListener);
        });
    }

    private void awaitCallers(long startMillis, Runnable endListener) {
        long elapsedMillis = loop.nowMillis() - startMillis;
        if (elapsedMillis >= phases.requestEndMillis() && !requestsEnded) {
            requestsEnded = true;
            report.logEndedByStop(state -> state != OpenRequest.State.RESPONSE_IN_BUFFER);
            callers.endRequests();
        }
        callers.closeIdleConnections();
        if (callers.connectionCount() > 0 && elapsedMillis < phases.outputEndMillis()) {
            loop.schedule(POLL_MILLIS, () -> awaitCallers(startMillis, endListener));
            return;
        }
        report.logEndedByStop(_state -> true);
        callers.endRequests();
        report.logEvent("stopped");
        endListener.run();
    }
}
