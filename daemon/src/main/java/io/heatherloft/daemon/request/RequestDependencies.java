package io.heatherloft.daemon.request;

import io.heatherloft.daemon.Counters;
import io.heatherloft.daemon.Ports;
import io.heatherloft.daemon.backend.BackendDirectory;
import io.heatherloft.daemon.backend.TrialLeaseService;
import io.heatherloft.daemon.fleet.FleetState;
import io.heatherloft.daemon.fleet.RolloutMonitor;
import io.heatherloft.daemon.ledger.LedgerService;
import io.heatherloft.domain.cascade.CascadePlanner;
import io.heatherloft.domain.configuration.Model;
import io.heatherloft.domain.configuration.Workspace;
import io.heatherloft.domain.ledger.ClaimToken;
import io.heatherloft.domain.membership.Fact;
import io.heatherloft.domain.routing.BackendServer;
import io.heatherloft.domain.routing.CrashPolicy;
import io.heatherloft.domain.routing.RetryBudget;
import java.util.List;

/**
 * What the requests of one host share. Confined to the loop's thread.
 */
public record RequestDependencies(
        Ports ports,
        FleetState fleet,
        BackendDirectory backends,
        TrialLeaseService trials,
        LedgerService ledger,
        SessionBinder sessions,
        CascadePlanner planner,
        AnswerRatings ratings,
        RolloutMonitor rolloutWatch,
        RetryBudget retryBudget,
        Counters counters) {
    ClaimToken nextClaimToken() {
        return new ClaimToken(
                fleet.members().self().incarnationName(), ports.random().nextLong());
    }

    List<CascadePlanner.StepCost> stepCosts(Workspace workspace, List<String> models) {
        return models.stream().map(model -> stepCost(workspace, model)).toList();
    }

    private CascadePlanner.StepCost stepCost(Workspace workspace, String model) {
        return fleet.versionSelector()
                .select(workspace.name(), model, "")
                .version()
                .flatMap(fleet.configuration().configuration()::version)
                .map(version -> new CascadePlanner.StepCost(model, version.price()))
                .orElseGet(() -> new CascadePlanner.StepCost(model, new Model.TokenPrice(0, 0)));
    }

    long nowMillis() {
        return ports.loop().nowMillis();
    }

    /** Holds the loss of a backend server against a request, unless several were lost at once. */
    void recordCrash(String fingerprint, BackendServer server) {
        if (!backends.recordLoss(server)) {
            fleet.addFact(Fact.Kind.CRASHED_BACKEND, fingerprint, server.address(), CrashPolicy.RETENTION_MILLIS);
        }
    }
}
