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
    private final Consumer<StopDeadlines> beginListener;
    private boolean requestsEnded;
    private boolean ended;

    /**
     * Creates a stop that has not begun.
     *
     * @param beginListener receives the deadlines when the stop begins
     */
    GracefulStop(Loop loop, CallerServer callers, OpenRequestsReport report, Consumer<StopDeadlines> beginListener) {
        this.loop = loop;
        this.callers = callers;
        this.report = report;
        this.beginListener = beginListener;
    }

    /** Begins the stop; must be called once. */
    void begin(StopPhases phases, Runnable endListener) {
        long startMillis = loop.nowMillis();
        report.logEvent("stop");
        beginListener.accept(
                new StopDeadlines(startMillis + phases.acceptEndMillis(), startMillis + phases.requestEndMillis()));
        loop.schedule(phases.lastResponseMillis(), callers::drain);
        loop.schedule(phases.acceptEndMillis(), () -> {
            callers.stopAccepting();
            awaitCallers(startMillis, phases, endListener);
        });
        // A fault in one of the phases must not keep the process until it is killed.
        loop.schedule(phases.outputEndMillis() + POLL_MILLIS, () -> end(endListener));
    }

    private void awaitCallers(long startMillis, StopPhases phases, Runnable endListener) {
        long elapsedMillis = loop.nowMillis() - startMillis;
        if (elapsedMillis >= phases.requestEndMillis() && !requestsEnded) {
            requestsEnded = true;
            report.logEndedByStop(state -> state != OpenRequest.State.RESPONSE_IN_BUFFER);
            callers.endRequests();
        }
        callers.closeIdleConnections();
        if (callers.connectionCount() > 0 && elapsedMillis < phases.outputEndMillis()) {
            loop.schedule(POLL_MILLIS, () -> awaitCallers(startMillis, phases, endListener));
            return;
        }
        report.logEndedByStop(_state -> true);
        callers.endRequests();
        end(endListener);
    }

    private void end(Runnable endListener) {
        if (!ended) {
            ended = true;
            report.logEvent("stopped");
            endListener.run();
        }
    }
}
