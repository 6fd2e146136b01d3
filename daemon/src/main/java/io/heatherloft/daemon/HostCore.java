package io.heatherloft.daemon;

import com.codahale.metrics.MetricRegistry;
import io.heatherloft.daemon.backend.BackendDirectory;
import io.heatherloft.daemon.backend.EngineReconciler;
import io.heatherloft.daemon.backend.TrialLeaseService;
import io.heatherloft.daemon.fleet.ConfigurationSynchronizer;
import io.heatherloft.daemon.fleet.FleetState;
import io.heatherloft.daemon.fleet.Gossiper;
import io.heatherloft.daemon.fleet.RolloutMonitor;
import io.heatherloft.daemon.ledger.LedgerService;
import io.heatherloft.daemon.request.AnswerRatings;
import io.heatherloft.daemon.request.ExplanationStore;
import io.heatherloft.daemon.request.RequestService;
import io.heatherloft.daemon.request.RequestDependencies;
import io.heatherloft.daemon.request.SessionBinder;
import io.heatherloft.domain.cascade.CascadePlanner;
import io.heatherloft.domain.membership.Member;
import io.heatherloft.domain.membership.MemberTable;
import io.heatherloft.domain.routing.RetryBudget;
import io.heatherloft.ports.loop.Futures;
import java.util.concurrent.CompletableFuture;

/**
 * All decisions of one host, put together over its ports. Knows no transport, so that tests run it as it is.
 *
 * <p>Invariant: everything runs on the ports' loop. Confined to the loop's thread.
 */
public final class HostCore {
    private static final double RETRIES_PER_SUCCESS = 0.1;
    private static final double RETRY_BURST = 50;
    private static final long DRAIN_POLL_MILLIS = 25L;
    private static final long FINAL_RESPONSES_TIMEOUT_MILLIS = 3_000L;
    private static final long FLUSH_TIMEOUT_MILLIS = 10_000L;

    private final Ports ports;
    private final Counters counters;
    private final FleetState fleet;
    private final Gossiper gossiper;
    private final ConfigurationSynchronizer configurationSynchronizer;
    private final BackendDirectory backends;
    private final LedgerService ledger;
    private final EngineReconciler engineReconciler;
    private final RolloutMonitor rolloutMonitor;
    private final ExplanationStore explanations = new ExplanationStore();
    private final RequestService requests;
    private final PeerHandler peerHandler;

    /** Puts a host together; nothing runs before {@link #start}. */
    public HostCore(Ports ports, Member self, MetricRegistry registry) {
        this.ports = ports;
        this.counters = new Counters(registry);
        this.fleet = new FleetState(ports.loop(), new MemberTable(self, ports.random()));
        this.gossiper = new Gossiper(ports.loop(), ports.peers(), fleet, counters);
        this.configurationSynchronizer = new ConfigurationSynchronizer(ports.loop(), ports.random(), ports.store(), fleet, gossiper, counters);
        this.backends = new BackendDirectory(ports, fleet, counters);
        this.ledger = new LedgerService(ports, fleet, gossiper, counters);
        this.engineReconciler = new EngineReconciler(ports, fleet, counters);
        TrialLeaseService trials = new TrialLeaseService(ports.loop(), fleet, gossiper);
        AnswerRatings ratings = new AnswerRatings(ports.loop(), ports.ratings(), counters);
        this.rolloutMonitor = new RolloutMonitor(ports, fleet, gossiper, counters);
        ratings.onRating(rolloutMonitor::addRating);
        RequestDependencies services = new RequestDependencies(
                ports,
                fleet,
                backends,
                trials,
                ledger,
                new SessionBinder(ports, fleet, ledger, counters),
                new CascadePlanner(ports.random()),
                ratings,
                rolloutMonitor,
                new RetryBudget(RETRIES_PER_SUCCESS, RETRY_BURST),
                counters);
        this.requests = new RequestService(services, explanations);
        this.peerHandler = new PeerHandler(gossiper, configurationSynchronizer, ledger, trials, rolloutMonitor, explanations);
    }

    /** Starts the host's duties. */
    public void start() {
        backends.start();
        gossiper.start();
        configurationSynchronizer.start();
        ledger.start();
        rolloutMonitor.start();
        engineReconciler.start();
    }

    /** Returns true if the host can answer requests: it has a configuration and is not stopping. */
    public boolean isReady() {
        return fleet.configuration().generation() > 0 && fleet.members().self().status() == Member.Status.ALIVE;
    }

    /**
     * Stops in order: takes work until the balancer has noticed, refuses new work, finishes what runs, makes the
     * ledger durable and hands it over.
     *
     * @param drainMillis longest time for what runs
     */
    public CompletableFuture<Void> stop(long balancerNoticeMillis, long drainMillis) {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        ports.loop().schedule(balancerNoticeMillis, () -> {
            requests.stopAccepting();
            ledger.stopAcceptingReplicas();
            long giveUpAtMillis = ports.loop().nowMillis() + drainMillis;
            awaitDrain(giveUpAtMillis, stopped);
        });
        return stopped;
    }

    /** Returns the handler of other hosts' calls. */
    public PeerHandler peerHandler() {
        return peerHandler;
    }

    /** Returns the front door for callers. */
    public RequestService requests() {
        return requests;
    }

    /** Returns what this host knows of the fleet. */
    public FleetState fleet() {
        return fleet;
    }

    /** Returns the backend servers. */
    public BackendDirectory backends() {
        return backends;
    }

    /** Returns the ledger. */
    public LedgerService ledger() {
        return ledger;
    }

    /** Returns the explanations of recent requests. */
    public ExplanationStore explanations() {
        return explanations;
    }

    /** Returns the gossiper. */
    public Gossiper gossiper() {
        return gossiper;
    }

    /** Returns the counters. */
    public Counters counters() {
        return counters;
    }

    private void awaitDrain(long giveUpAtMillis, CompletableFuture<Void> stopped) {
        if (requests.inProgress() == 0) {
            flushAndLeave(stopped);
        } else if (ports.loop().nowMillis() < giveUpAtMillis) {
            ports.loop().schedule(DRAIN_POLL_MILLIS, () -> awaitDrain(giveUpAtMillis, stopped));
        } else {
            backends.close();
            awaitFinalResponses(ports.loop().nowMillis() + FINAL_RESPONSES_TIMEOUT_MILLIS, stopped);
        }
    }

    private void awaitFinalResponses(long giveUpAtMillis, CompletableFuture<Void> stopped) {
        if (requests.inProgress() == 0 || ports.loop().nowMillis() >= giveUpAtMillis) {
            flushAndLeave(stopped);
        } else {
            ports.loop().schedule(DRAIN_POLL_MILLIS, () -> awaitFinalResponses(giveUpAtMillis, stopped));
        }
    }

    private void flushAndLeave(CompletableFuture<Void> stopped) {
        CompletableFuture<Void> flushed = Futures.withTimeout(ledger.flush(), ports.loop(), FLUSH_TIMEOUT_MILLIS);
        Futures.onComplete(flushed, (_nothing, failure) -> {
            if (failure == null) {
                leave(stopped);
            } else {
                CompletableFuture<Void> given =
                        Futures.withTimeout(ledger.transferPendingRecords(), ports.loop(), FLUSH_TIMEOUT_MILLIS);
                Futures.onComplete(given, (_given, _failure) -> leave(stopped));
            }
        });
    }

    private void leave(CompletableFuture<Void> stopped) {
        configurationSynchronizer.stop();
        engineReconciler.stop();
        gossiper.leave();
        ledger.releaseShards();
        stopped.complete(null);
    }
}
