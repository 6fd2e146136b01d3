package io.heatherloft.domain.admission;

import io.heatherloft.domain.StableHash;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The servers that may run requests of a service, with their capacity as known to one host at one moment.
 *
 * <p>Invariant: no server is returned for a request whose tokens it cannot hold beside those that are known. Immutable and
 * thread-safe if the servers are.
 *
 * @param <S> type of the servers
 */
public final class KnownCapacity<S> {
    // Spreads the reservations of hosts that choose at the same moment over servers with similar numbers of free
    // tokens.
    private static final double RESERVATION_SPREAD = 0.1;

    private final List<Server<S>> servers;
    private final long hostHash;
    private final Optional<Reservation<S>> reservation;
    private final List<Server<S>> withSlot;
    private final List<Server<S>> fullByOldReports;

    /**
     * Creates an instance.
     *
     * @param hostHash hash of this host's name; hosts that reserve at the same moment choose different servers by it
     * @param reservation tokens that are kept free for one waiting request
     */
    public KnownCapacity(List<Server<S>> servers, long hostHash, Optional<Reservation<S>> reservation) {
        this.servers = List.copyOf(servers);
        this.hostHash = hostHash;
        this.reservation = reservation;
        this.withSlot = filter(server -> server.capacity().hasSlot());
        this.fullByOldReports = filter(server -> server.capacity().isFullByOldReportsOnly());
    }

    /**
     * A server and its capacity, without what is reserved for a request of this host.
     *
     * @param idHash hash of the server's ID
     */
    public record Server<S>(S server, long idHash, ServerCapacity capacity) {}

    /** Tokens of a server that are kept free for a waiting request. */
    public record Reservation<S>(S server, long tokens) {}

    /** Returns true if a server has a free slot, or is full according to old reports only. */
    public boolean mayHaveSlot() {
        return !withSlot.isEmpty() || !fullByOldReports.isEmpty();
    }

    /** Returns the number of servers. */
    public int serverCount() {
        return servers.size();
    }

    /** Returns the number of servers that have a free slot. */
    public int serversWithSlot() {
        return withSlot.size();
    }

    /**
     * Returns the servers to which a request may be sent now, among which any preference may decide.
     *
     * @param usable servers that the request may use
     * @param forReservation true if the request is the one for which tokens are reserved
     */
    public List<S> withCapacity(long neededTokens, boolean forReservation, Predicate<S> usable) {
        return withSlot.stream()
                .filter(server -> usable.test(server.server()))
                .filter(server -> available(server, forReservation).hasSlot()
                        && available(server, forReservation).canHold(neededTokens))
                .map(Server::server)
                .toList();
    }

    /**
     * Returns the server to which a request may be sent although it is known to be full, because the reports that say so
     * are old: the one with the least known load. Its tokens are checked all the same.
     */
    public Optional<S> leastLoadedByOldReports(long neededTokens, Predicate<S> usable) {
        return fullByOldReports.stream()
                .filter(server -> usable.test(server.server()))
                .filter(server -> available(server, false).canHold(neededTokens))
                .min(Comparator.comparingDouble(server -> server.capacity().requestsPerSlot()))
                .map(Server::server);
    }

    /** Returns true if a server that the request may use could hold it if it held no other request. */
    public boolean couldHoldAlone(long neededTokens, Predicate<S> usable) {
        return servers.stream().filter(server -> usable.test(server.server())).anyMatch(server -> server.capacity()
                .canHoldAlone(neededTokens));
    }

    /** Returns true if this host could send the request to a server if the server held no other. */
    public boolean couldSend(long neededTokens, Predicate<S> usable) {
        return servers.stream().filter(server -> usable.test(server.server())).anyMatch(server -> server.capacity()
                .couldHold(neededTokens));
    }

    /** Returns true if a server that the request may use can hold its tokens, whether or not it has a free slot. */
    public boolean canHold(long neededTokens, Predicate<S> usable) {
        return servers.stream().filter(server -> usable.test(server.server())).anyMatch(server -> server.capacity()
                .canHold(neededTokens));
    }

    /** Returns the server on which tokens should be reserved: one of those with the most free tokens. */
    public Optional<S> toReserve(long neededTokens, Predicate<S> usable) {
        return servers.stream()
                .filter(server -> usable.test(server.server()))
                .filter(server -> server.capacity().couldHold(neededTokens))
                .max(Comparator.comparingDouble(server -> server.capacity().freeTokens()
                        + RESERVATION_SPREAD
                                * server.capacity().tokenCapacity()
                                * StableHash.toUnitInterval(StableHash.mix(hostHash, server.idHash()))))
                .map(Server::server);
    }

    private ServerCapacity available(Server<S> server, boolean forReservation) {
        return reservation
                .filter(reserved -> !forReservation && reserved.server().equals(server.server()))
                .map(reserved -> server.capacity().besideReservation(reserved.tokens()))
                .orElseGet(server::capacity);
    }

    private List<Server<S>> filter(Predicate<Server<S>> condition) {
        return servers.stream().filter(condition).toList();
    }
}
