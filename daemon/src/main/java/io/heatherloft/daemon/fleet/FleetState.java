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
 * What one host knows of the fleet. Invariant: facts are only added through {@link #addFact}. Confined to the loop's
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

    /** Creates the state of a host that knows only itself. */
    public FleetState(Loop loop, MemberTable members) {
        this.loop = loop;
        this.members = members;
    }

    /** Adds a fact that this host found, to be forgotten after a time in milliseconds; returns true if it was new. */
    public boolean addFact(Fact.Kind kind, String subject, String detail, long lifeMillis) {
        return addFact(new Fact(kind, subject, detail, configuration.generation(), loop.nowMillis() + lifeMillis));
    }

    /** Adds a fact; returns true if it was new. */
    public boolean addFact(Fact fact) {
        boolean added = facts.add(fact, loop.nowMillis());
        if (added) {
            LOG.info("learned {} of {} {}", fact.kind(), fact.subject(), fact.detail());
            factListeners.forEach(listener -> listener.accept(fact));
        }
        return added;
    }

    /** Calls back for each new fact. */
    public void onNewFact(Consumer<Fact> listener) {
        factListeners.add(listener);
    }

    /** Returns the entry hosts. */
    public MemberTable members() {
        return members;
    }

    /** Returns the facts. */
    public FactSet facts() {
        return facts;
    }

    /** Returns the configuration. */
    public ConfigurationState configuration() {
        return configuration;
    }

    /** Returns who owns the ledger's shards. */
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

    /** Returns the dispatch rules as of now. */
    public DispatchRules dispatchRules() {
        return new DispatchRules(configuration.configuration(), facts);
    }

    /** Returns the version choice as of now. */
    public VersionSelector versionSelector() {
        return new VersionSelector(configuration.configuration(), dispatchRules());
    }

    /** Returns the crash rules as of now. */
    public CrashPolicy crashPolicy() {
        return new CrashPolicy(facts);
    }
}
