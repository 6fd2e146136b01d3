package io.heatherloft.domain.membership;

import io.heatherloft.domain.StableHash;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/**
 * The entry hosts that one host knows of, kept by the rules of SWIM (Das, Gupta, Motivala 2002): a probe of one random
 * member each round, suspicion before removal, news carried on the probes.
 *
 * <p>Invariants: the work and the bytes of a round do not depend on the number of members; a dead incarnation never
 * comes back; this host never believes itself dead. Confined to one thread.
 */
public final class MemberTable {
    /** Time for which a suspected member may deny the suspicion, in milliseconds. */
    public static final long SUSPICION_MILLIS = 3_000L;

    private static final long DEAD_RETENTION_MILLIS = 60_000L;
    private static final int BASE_TRANSMISSIONS = 4;
    private static final int TRANSMISSIONS_PER_DOUBLING = 3;

    private Member self;
    private final Random random;
    private final Map<String, Member> members = new LinkedHashMap<>();
    private final Map<String, Long> changedAtMillis = new HashMap<>();
    private final Map<String, Integer> remainingTransmissions = new LinkedHashMap<>();
    private final Map<String, Long> idHashes = new HashMap<>();
    private final ArrayDeque<String> probeOrder = new ArrayDeque<>();
    private final ArrayDeque<String> sampleOrder = new ArrayDeque<>();

    /** Creates a table that knows only this host. */
    public MemberTable(Member self, Random random) {
        this.self = self;
        this.random = random;
    }

    /** Returns this host as it announces itself. */
    public Member self() {
        return self;
    }

    /** Merges a claim of a peer; returns true if it changed the table. */
    public boolean merge(Member claim, long nowMillis) {
        if (claim.id().equals(self.id())) {
            return refuteSuspicion(claim);
        }
        Member known = members.get(claim.id());
        if (known != null && !claim.supersedes(known)) {
            return false;
        }
        if (known == null && claim.status() == Member.Status.DEAD) {
            return false;
        }
        put(claim, nowMillis);
        return true;
    }

    /** Marks a member as suspect because a direct and the indirect probes of it were not answered. */
    public void suspect(String id, long nowMillis) {
        Member known = members.get(id);
        if (known != null && known.status() == Member.Status.ALIVE) {
            put(known.withStatus(Member.Status.SUSPECT), nowMillis);
        }
    }

    /** Turns suspicions that were not denied in time into removals, and forgets old removals. */
    public void processTimeouts(long nowMillis) {
        List<Member> overdue = members.values().stream()
                .filter(member -> member.status() == Member.Status.SUSPECT)
                .filter(member -> nowMillis - changedAtMillis.get(member.id()) >= SUSPICION_MILLIS)
                .toList();
        overdue.forEach(member -> put(member.withStatus(Member.Status.DEAD), nowMillis));
        members.values()
                .removeIf(member -> member.status() == Member.Status.DEAD
                        && nowMillis - changedAtMillis.get(member.id()) >= DEAD_RETENTION_MILLIS);
        changedAtMillis.keySet().retainAll(members.keySet());
        idHashes.keySet().removeIf(id -> !members.containsKey(id) && !id.equals(self.id()));
    }

    /** Announces that this host stops in order, so that peers need not suspect it first. */
    public void leave() {
        self = self.withStatus(Member.Status.DEAD);
    }

    /** Returns the next member to probe; every member comes up once before any comes up twice. */
    public Optional<Member> nextToProbe() {
        return nextMatching(probeOrder, member -> member.status() != Member.Status.DEAD);
    }

    /** Returns up to {@code count} random members that are alive, other than {@code excludedId}. */
    public List<Member> randomAlive(int count, String excludedId) {
        List<Member> candidates = new ArrayList<>(alivePeers());
        candidates.removeIf(member -> member.id().equals(excludedId));
        java.util.Collections.shuffle(candidates, random);
        return candidates.subList(0, Math.min(count, candidates.size()));
    }

    /** Returns the members to mention in a message: recent changes first, then a rotating sample of the rest. */
    public List<Member> selectForGossip(int limit) {
        List<Member> mentioned = new ArrayList<>();
        remainingTransmissions.keySet().stream()
                .limit(limit)
                .map(members::get)
                .filter(m -> m != null)
                .forEach(mentioned::add);
        mentioned.forEach(member -> remainingTransmissions.computeIfPresent(
                member.id(), (_id, left) -> left > 1 ? Integer.valueOf(left - 1) : null));
        remainingTransmissions.keySet().removeIf(id -> !members.containsKey(id));
        int samples = Math.min(limit - mentioned.size(), members.size());
        for (int index = 0; index < samples; index++) {
            nextMatching(sampleOrder, _member -> true).ifPresent(mentioned::add);
        }
        return mentioned;
    }

    /** Returns the peers that are alive or suspect, that is, not known to be gone. */
    public List<Member> peers() {
        return members.values().stream()
                .filter(member -> member.status() != Member.Status.DEAD)
                .toList();
    }

    /** Returns the peers that are alive. */
    public List<Member> alivePeers() {
        return members.values().stream()
                .filter(member -> member.status() == Member.Status.ALIVE)
                .toList();
    }

    /** Returns a peer by name. */
    public Optional<Member> peer(String id) {
        return Optional.ofNullable(members.get(id));
    }

    /**
     * Returns the hosts that carry a duty, best first: the order of their rendezvous weights for its name (Thaler,
     * Ravishankar 1998), so that hosts with the same view agree and a lost host moves only its own duties.
     */
    public List<Member> rendezvous(String duty, int count) {
        long dutyHash = StableHash.of(duty);
        List<WeightedMember> candidates = new ArrayList<>(members.size() + 1);
        members.values().stream()
                .filter(member -> member.status() != Member.Status.DEAD)
                .forEach(member -> candidates.add(weightedBy(member, dutyHash)));
        if (self.status() == Member.Status.ALIVE) {
            candidates.add(weightedBy(self, dutyHash));
        }
        if (count == 1) {
            return candidates.stream()
                    .max(Comparator.comparingLong(WeightedMember::weight))
                    .map(WeightedMember::member)
                    .stream()
                    .toList();
        }
        return candidates.stream()
                .sorted(Comparator.comparingLong(WeightedMember::weight).reversed())
                .limit(count)
                .map(WeightedMember::member)
                .toList();
    }

    /** Returns the host that carries a duty; this host if it knows of no other. */
    public Member ownerOf(String duty) {
        List<Member> first = rendezvous(duty, 1);
        return first.isEmpty() ? self : first.get(0);
    }

    /** Returns true if {@code member} is this host. */
    public boolean isSelf(Member member) {
        return member.id().equals(self.id());
    }

    private WeightedMember weightedBy(Member member, long dutyHash) {
        long idHash = idHashes.computeIfAbsent(member.id(), StableHash::of);
        return new WeightedMember(member, StableHash.mix(idHash, dutyHash));
    }

    private boolean refuteSuspicion(Member claim) {
        boolean denied = self.status() == Member.Status.ALIVE
                && claim.status() != Member.Status.ALIVE
                && claim.incarnation() == self.incarnation()
                && claim.refutation() >= self.refutation();
        if (denied) {
            self = new Member(
                    self.id(),
                    self.incarnation(),
                    claim.refutation() + 1,
                    self.address(),
                    self.availabilityZone(),
                    self.status());
        }
        return denied;
    }

    private void put(Member member, long nowMillis) {
        members.put(member.id(), member);
        changedAtMillis.put(member.id(), nowMillis);
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(members.size());
        remainingTransmissions.put(member.id(), BASE_TRANSMISSIONS + TRANSMISSIONS_PER_DOUBLING * doublings);
    }

    private Optional<Member> nextMatching(ArrayDeque<String> order, java.util.function.Predicate<Member> wanted) {
        for (int tries = 0; tries <= members.size(); tries++) {
            if (order.isEmpty()) {
                refill(order);
            }
            Member member = order.isEmpty() ? null : members.get(order.poll());
            if (member != null && wanted.test(member)) {
                return Optional.of(member);
            }
        }
        return Optional.empty();
    }

    private void refill(ArrayDeque<String> order) {
        List<String> ids = new ArrayList<>(members.keySet());
        java.util.Collections.shuffle(ids, random);
        order.addAll(ids);
    }

    private record WeightedMember(Member member, long weight) {}
}
