package io.heatherloft.daemon.fleet;

import io.heatherloft.domain.membership.Member;
import io.heatherloft.domain.membership.MemberTable;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Which host owns each shard of the ledger, as announced by the owners.
 *
 * <p>A hint that saves work: the ledger's log alone decides which writer wins. Invariant: for a shard the announcement
 * with the highest term stands, a term being the log sequence at which the owner started. Confined to the loop's
 * thread.
 */
public final class ShardOwners {
    private final Map<Integer, Announcement> announcements = new HashMap<>();

    /** Merges an announcement. */
    public void merge(Announcement announcement) {
        announcements.merge(
                announcement.shard(),
                announcement,
                (known, offered) -> offered.term() > known.term() ? offered : known);
    }

    /** Returns all announcements. */
    public List<Announcement> all() {
        return List.copyOf(announcements.values());
    }

    /** Returns the host to send records of a shard to: the announced owner while it lives, else the first in line. */
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

    /** An owner's announcement. */
    public record Announcement(int shard, long term, String hostId) {}
}
