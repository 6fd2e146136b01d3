package io.heatherloft.daemon.http;

import io.heatherloft.daemon.HostCore;
import io.heatherloft.domain.membership.Fact;
import io.heatherloft.domain.membership.Member;
import io.heatherloft.domain.routing.BackendServer;
import java.util.Collection;
import java.util.List;
import java.util.stream.Stream;

/**
 * What a host's status page shows. Immutable and safe for use by several threads.
 */
record HostStatus(
        String host,
        String availabilityZone,
        boolean ready,
        long generation,
        String generationDigest,
        int requestsInProgress,
        int recordsNotDurable,
        Collection<Integer> ownedShards,
        List<Member> peers,
        List<BackendServer> backendServers,
        List<Fact> facts) {
    static HostStatus of(HostCore host) {
        Member self = host.fleet().members().self();
        return new HostStatus(
                self.id(),
                self.availabilityZone(),
                host.isReady(),
                host.fleet().configuration().generation(),
                host.fleet().configuration().document().head().digest(),
                host.requests().inProgress(),
                host.ledger().outboxSize(),
                host.ledger().ownedShards(),
                host.fleet().members().peers(),
                host.fleet().hostListing().backendServers(),
                Stream.of(Fact.Kind.values())
                        .flatMap(kind -> host.fleet().facts().ofKind(kind).stream())
                        .toList());
    }
}
