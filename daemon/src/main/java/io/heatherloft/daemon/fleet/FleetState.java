package io.heatherloft.daemon.fleet;

import io.heatherloft.domain.membership.Fact;
import io.heatherloft.domain.membership.FactSet;
import io.heatherloft.domain.membership.MemberTable;
import io.heatherloft.domain.routing.CrashPolicy;
import io.heatherloft.domain.routing.DispatchRules;
import io.heatherloft.domain.routing.VersionSelector;
import io.heatherloft.ports.hosts.HostListing;
import io.heatherloft.ports.loop.Loop;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * One host's view of the fleet. Invariant: facts are added only through {@link #addFact}. Confined to the event loop
 * thread.
 */
public final class FleetState {
    private static final Logger LOG = LogManager.getLogger(FleetState.class);

    private final Loop loop;
    private final MemberTable members;
    private final FactSet facts = new FactSet();
    private final ConfigurationState configuration = new ConfigurationState();
    private final ShardOwners shardOwners = new ShardOwners();
    private final List<Consumer<Fact>> factListeners = new ArrayList<>();
    private HostListing hostListing = HostListing.EMPTY;

    /** Creates a state without facts, configuration or host listing. */
    public FleetState(Loop loop, MemberTable members) {
        this.loop = loop;
        this.members = members;
    }

    /** Adds a fact that this host observed, valid for the given time in milliseconds; returns true if it was new. */
    public boolean addFact(Fact.Kind kind, String subject, String detail, long ttlMillis) {
        return addFact(new Fact(kind, subject, detail, configuration.generation(), loop.nowMillis() + ttlMillis));
    }

    /** Adds a fact and notifies the listeners if it was new; returns true if it was new. */
    public boolean addFact(Fact fact) {
        boolean added = facts.add(fact, loop.nowMillis());
        if (added) {
            LOG.info("learned {} of {} {}", fact.kind(), fact.subject(), fact.detail());
            factListeners.forEach(listener -> listener.accept(fact));
        }
        return added;
    }

    /** Adds a listener that is called for each new fact. */
    public void onNewFact(Consumer<Fact> listener) {
        factListeners.add(listener);
    }

    /** Returns the membership table of the entry hosts. */
    public MemberTable members() {
        return members;
    }

    /** Returns the facts. */
    public FactSet facts() {
        return facts;
    }

    /** Returns the configuration state of this host. */
    public ConfigurationState configuration() {
        return configuration;
    }

    /** Returns the known owners of the ledger shards. */
    public ShardOwners shardOwners() {
        return shardOwners;
    }

    /** Returns the latest host listing. */
    public HostListing hostListing() {
        return hostListing;
    }

    /** Replaces the host listing. */
    public void updateHostListing(HostListing listing) {
        hostListing = listing;
    }

    /** Returns dispatch rules based on the active configuration and the facts. */
    public DispatchRules dispatchRules() {
        return new DispatchRules(configuration.configuration(), facts);
    }

    /** Returns a version selector based on the active configuration and the dispatch rules. */
    public VersionSelector versionSelector() {
        return new VersionSelector(configuration.configuration(), dispatchRules());
    }

    /** Returns the crash policy based on the facts. */
    public CrashPolicy crashPolicy() {
        return new CrashPolicy(facts);
    }
}
