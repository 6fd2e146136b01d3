package io.heatherloft.daemon.request;

import io.heatherloft.daemon.Counters;
import io.heatherloft.daemon.Ports;
import io.heatherloft.daemon.fleet.FleetState;
import io.heatherloft.daemon.ledger.LedgerService;
import io.heatherloft.domain.BoundedMap;
import io.heatherloft.domain.configuration.Model;
import io.heatherloft.domain.configuration.VersionReference;
import io.heatherloft.domain.configuration.Workspace;
import io.heatherloft.domain.ledger.LedgerRecord;
import io.heatherloft.domain.ledger.LedgerReply;
import io.heatherloft.domain.ledger.Retention;
import io.heatherloft.domain.ledger.SessionKey;
import io.heatherloft.domain.routing.DispatchRules;
import io.heatherloft.domain.routing.VersionSelector;
import io.heatherloft.ports.loop.Futures;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Finds the version on which a request runs: that of its session, or a new choice.
 *
 * <p>Invariants: a session's version is the one in the ledger; a session leaves it only when it may no longer be used
 * and the workspace's file says that sessions move; where the ledger cannot tell and more than one version is possible,
 * nothing is chosen. Confined to the loop's thread.
 */
public final class SessionBinder {
    private static final int CACHE_CAPACITY = 100_000;
    private static final long CACHE_TTL_MILLIS = Retention.DEFAULT.sessionMillis() / 4;
    private static final long PIN_TIMEOUT_MILLIS = 1_500L;

    private final Ports ports;
    private final FleetState fleet;
    private final LedgerService ledger;
    private final Counters counters;
    private final Map<SessionKey, CachedPin> cache = BoundedMap.withFifoEviction(CACHE_CAPACITY);

    /** Creates a binder. */
    public SessionBinder(Ports ports, FleetState fleet, LedgerService ledger, Counters counters) {
        this.ports = ports;
        this.fleet = fleet;
        this.ledger = ledger;
        this.counters = counters;
    }

    /** Finds the version for a request. */
    public CompletableFuture<Binding> bind(
            Workspace workspace, String model, Optional<String> sessionId, String requestId) {
        if (sessionId.isEmpty()) {
            VersionSelector.Selection selection = fleet.versionSelector().select(workspace.name(), model, requestId);
            return CompletableFuture.completedFuture(toBinding(selection));
        }
        SessionKey session = new SessionKey(workspace.name(), sessionId.get(), model);
        CachedPin cached = cache.get(session);
        if (cached != null && ports.loop().nowMillis() - cached.cachedAtMillis() < CACHE_TTL_MILLIS) {
            return bindIfUsable(workspace, session, cached.version());
        }
        return resolvePin(workspace, session);
    }

    private CompletableFuture<Binding> resolvePin(Workspace workspace, SessionKey session) {
        VersionSelector.Selection selection =
                fleet.versionSelector().select(workspace.name(), session.model(), session.sessionId());
        VersionReference wanted = Optional.ofNullable(cache.get(session))
                .map(CachedPin::version)
                .or(selection::version)
                .orElse(null);
        if (wanted == null) {
            return CompletableFuture.completedFuture(toBinding(selection));
        }
        return submitPin(session, wanted, Optional.empty()).thenCompose(reply -> {
            if (reply instanceof LedgerReply.Pinned pinned) {
                cachePin(session, pinned.version());
                return bindIfUsable(workspace, session, pinned.version());
            }
            counters.count("session.pin-unavailable");
            return CompletableFuture.completedFuture(bindWithoutLedger(workspace, session));
        });
    }

    // A pin that may exist cannot be contradicted if the model has only one version that it can name. Versions that may
    // not be used now count as well: the session may be bound to one, and it may come back.
    private Binding bindWithoutLedger(Workspace workspace, SessionKey session) {
        List<Model.Version> declared = fleet.configuration()
                .configuration()
                .models()
                .get(session.model())
                .versions();
        VersionReference first =
                new VersionReference(session.model(), declared.get(0).name());
        boolean certain = declared.size() == 1
                && fleet.dispatchRules().refusalOf(workspace.name(), first).isEmpty();
        if (!certain) {
            return Binding.refused(Refusal.LEDGER_UNAVAILABLE, "the session's version cannot be read now");
        }
        LedgerRecord.SessionPin pin = new LedgerRecord.SessionPin(
                session, first, Optional.empty(), ports.loop().nowMillis());
        Futures.onResult(ledger.settle(pin), _safe -> counters.count("session.pinned-late"));
        return Binding.to(first, "the model's only version");
    }

    private CompletableFuture<Binding> bindIfUsable(Workspace workspace, SessionKey session, VersionReference version) {
        Optional<DispatchRules.Refusal> refusal = fleet.dispatchRules().refusalOf(workspace.name(), version);
        if (refusal.isEmpty()) {
            return CompletableFuture.completedFuture(Binding.to(version, "the session's version"));
        }
        String reason = version + " is " + refusal.get();
        if (workspace.withdrawnSessionPolicy() == Workspace.WithdrawnSessionPolicy.REFUSE) {
            return CompletableFuture.completedFuture(Binding.refused(Refusal.SESSION_ENDED, reason));
        }
        return successor(workspace, session, version)
                .map(next -> moveToSuccessor(session, version, next))
                .orElseGet(() -> CompletableFuture.completedFuture(
                        Binding.refused(Refusal.SESSION_ENDED, reason + " and has no usable successor")));
    }

    private CompletableFuture<Binding> moveToSuccessor(SessionKey session, VersionReference from, VersionReference next) {
        return submitPin(session, next, Optional.of(from)).thenApply(reply -> {
            if (reply instanceof LedgerReply.Pinned pinned && !pinned.version().equals(from)) {
                cachePin(session, pinned.version());
                return Binding.to(pinned.version(), "successor of " + from);
            }
            return Binding.refused(Refusal.LEDGER_UNAVAILABLE, "the session's move cannot be recorded now");
        });
    }

    private Optional<VersionReference> successor(Workspace workspace, SessionKey session, VersionReference version) {
        DispatchRules rules = fleet.dispatchRules();
        return fleet.configuration()
                .configuration()
                .version(version)
                .flatMap(Model.Version::successor)
                .map(name -> new VersionReference(session.model(), name))
                .filter(next -> rules.refusalOf(workspace.name(), next).isEmpty())
                .or(() -> fleet.versionSelector()
                        .select(workspace.name(), session.model(), session.sessionId())
                        .version());
    }

    private CompletableFuture<LedgerReply> submitPin(
            SessionKey session, VersionReference version, Optional<VersionReference> replaces) {
        return ledger.submit(
                new LedgerRecord.SessionPin(
                        session, version, replaces, ports.loop().nowMillis()),
                PIN_TIMEOUT_MILLIS);
    }

    private void cachePin(SessionKey session, VersionReference version) {
        cache.put(session, new CachedPin(version, ports.loop().nowMillis()));
    }

    private static Binding toBinding(VersionSelector.Selection selection) {
        return selection
                .version()
                .map(version -> Binding.to(version, "ruled out: " + selection.refusals()))
                .orElseGet(() -> Binding.refused(Refusal.NO_VERSION, "ruled out: " + selection.refusals()));
    }

    private record CachedPin(VersionReference version, long cachedAtMillis) {}

    /** Why there is no version. */
    public enum Refusal {
        /** No version of the model may be used. */
        NO_VERSION,
        /** The session's version may no longer be used. */
        SESSION_ENDED,
        /** The ledger does not answer. */
        LEDGER_UNAVAILABLE
    }

    /** A version, or the reason why there is none. */
    public record Binding(Optional<VersionReference> version, Optional<Refusal> refusal, String reason) {
        static Binding to(VersionReference version, String reason) {
            return new Binding(Optional.of(version), Optional.empty(), reason);
        }

        static Binding refused(Refusal refusal, String reason) {
            return new Binding(Optional.empty(), Optional.of(refusal), reason);
        }
    }
}
