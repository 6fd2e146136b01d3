package io.heatherloft.daemon.fleet;

import io.heatherloft.domain.membership.Member;
import io.heatherloft.domain.membership.MemberTable;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The owner of each ledger shard, as announced by the owners.
 *
 * <p>Announcements are only a hint that avoids needless work; the ledger log alone decides which writer wins. Invariant:
 * for each shard, the announcement with the highest term is kept, where the term is the log sequence number at which the
 * owner started. Confined to the event loop thread.
 */
public final class ShardOwners {
    private final Map<Integer, Announcement> announcements = new HashMap<>();

    /** Merges an announcement. */
    public void merge(Announcement announcement) {
        announcements.merge(
                announcement.shard(),
                announcement,
                (known, received) -> received.term() > known.term() ? received : known);
    }

    /** Returns all announcements. */
    public List<Announcement> all() {
        return List.copyOf(announcements.values());
    }

    /**
     * Returns the host that records of a shard are sent to: the announced owner, or the owner by rendezvous hashing if
     * none was announced or the announced one is dead.
     */
    public Member ownerOf(int shard, MemberTable members) {
        return Optional.ofNullable(announcements.get(shard))
                .flatMap(announcement -> findAlive(announcement.hostId(), members))
                .orElseGet(() -> members.ownerOf("ledger/" + shard));
    }

    private static Optional<Member> findAlive(String hostId, MemberTable members) {
        Optional<Member> known =
                hostId.equals(members.self().id()) ? Optional.of(members.self()) : members.peer(hostId);
        return known.filter(member -> member.status() != Member.Status.DEAD);
    }

    /** Announcement that a host owns a shard. */
    public record Announcement(int shard, long term, String hostId) {}
}
