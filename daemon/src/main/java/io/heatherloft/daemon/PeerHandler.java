package io.heatherloft.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import io.heatherloft.daemon.backend.TrialLeaseService;
import io.heatherloft.daemon.fleet.ConfigurationSynchronizer;
import io.heatherloft.daemon.fleet.Gossiper;
import io.heatherloft.daemon.fleet.RolloutMonitor;
import io.heatherloft.daemon.ledger.LedgerService;
import io.heatherloft.daemon.request.Explanation;
import io.heatherloft.daemon.request.ExplanationStore;
import io.heatherloft.peer.MembershipCodec;
import io.heatherloft.peer.PeerNetwork;
import io.heatherloft.peer.generated.ExplainAnswer;
import io.heatherloft.peer.generated.PeerReply;
import io.heatherloft.peer.generated.PeerRequest;
import io.heatherloft.ports.http.JsonHttpClient;
import java.util.concurrent.CompletableFuture;

/**
 * Answers the calls of other hosts. Confined to the loop's thread.
 */
public final class PeerHandler implements PeerNetwork.Handler {
    private final Gossiper gossiper;
    private final ConfigurationSynchronizer configurationSynchronizer;
    private final LedgerService ledger;
    private final TrialLeaseService trials;
    private final RolloutMonitor rolloutMonitor;
    private final ExplanationStore explanations;

    PeerHandler(
            Gossiper gossiper,
            ConfigurationSynchronizer keeper,
            LedgerService ledger,
            TrialLeaseService trials,
            RolloutMonitor rolloutWatch,
            ExplanationStore explanations) {
        this.gossiper = gossiper;
        this.configurationSynchronizer = keeper;
        this.ledger = ledger;
        this.trials = trials;
        this.rolloutMonitor = rolloutWatch;
        this.explanations = explanations;
    }

    @Override
    public CompletableFuture<PeerReply> handle(PeerRequest request) {
        gossiper.merge(request.getGossip());
        return dispatch(request)
                .thenApply(
                        reply -> reply.toBuilder().setGossip(gossiper.header()).build());
    }

    private CompletableFuture<PeerReply> dispatch(PeerRequest request) {
        return switch (request.getBodyCase()) {
            case PROBE_THROUGH -> gossiper.handleProbeThrough(request.getProbeThrough());
            case LEDGER -> ledger.handle(request.getLedger());
            case HOLD -> CompletableFuture.completedFuture(ledger.handle(
                    request.getHold(),
                    MembershipCodec.decode(request.getGossip().getSelf())));
            case FETCH_CONFIGURATION -> CompletableFuture.completedFuture(
                    configurationSynchronizer.handle(request.getFetchConfiguration()));
            case RESERVE -> CompletableFuture.completedFuture(trials.handle(request.getReserve()));
            case EXPLAIN -> CompletableFuture.completedFuture(
                    explain(request.getExplain().getRequestId()));
            case RATING -> {
                rolloutMonitor.handle(request.getRating());
                yield CompletableFuture.completedFuture(Gossiper.acknowledge(true));
            }
                // Only hosts on the users' platform exchange these; a daemon of the own interface has none to give.
            case KNOWLEDGE -> CompletableFuture.completedFuture(Gossiper.acknowledge(false));
            case PROBE, BODY_NOT_SET -> CompletableFuture.completedFuture(Gossiper.acknowledge(true));
        };
    }

    private PeerReply explain(String requestId) {
        String json = explanations
                .find(requestId)
                .map(Explanation::view)
                .<JsonNode>map(JsonHttpClient.MAPPER::valueToTree)
                .map(JsonNode::toString)
                .orElse("");
        return PeerReply.newBuilder()
                .setExplain(ExplainAnswer.newBuilder().setJson(json))
                .build();
    }
}
