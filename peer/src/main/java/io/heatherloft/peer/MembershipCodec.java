package io.heatherloft.peer;

import io.heatherloft.domain.membership.Fact;
import io.heatherloft.domain.membership.Member;
import io.heatherloft.peer.generated.FactEntry;
import io.heatherloft.peer.generated.MemberEntry;
import java.util.Optional;

/**
 * Converts members and facts to and from their protobuf messages.
 *
 * <p>Invariant: decoding an encoded value yields an equal value. Stateless and thread-safe.
 */
public final class MembershipCodec {
    private MembershipCodec() {}

    public static MemberEntry encode(Member member) {
        return MemberEntry.newBuilder()
                .setId(member.id())
                .setIncarnation(member.incarnation())
                .setRefutation(member.refutation())
                .setAddress(member.address())
                .setAvailabilityZone(member.availabilityZone())
                .setStatus(MemberEntry.Status.valueOf(member.status().name()))
                .build();
    }

    /** Decodes a member. A status that this release does not know is read as SUSPECT, which the member can refute. */
    public static Member decode(MemberEntry entry) {
        Member.Status status = entry.getStatus() == MemberEntry.Status.UNRECOGNIZED
                ? Member.Status.SUSPECT
                : Member.Status.valueOf(entry.getStatus().name());
        return new Member(
                entry.getId(),
                entry.getIncarnation(),
                entry.getRefutation(),
                entry.getAddress(),
                entry.getAvailabilityZone(),
                status);
    }

    public static FactEntry encode(Fact fact) {
        return FactEntry.newBuilder()
                .setKind(FactEntry.Kind.valueOf(fact.kind().name()))
                .setSubject(fact.subject())
                .setDetail(fact.detail())
                .setGeneration(fact.generation())
                .setExpiresAtMillis(fact.expiresAtMillis())
                .build();
    }

    /** Decodes a fact; empty if this release does not know its kind. */
    public static Optional<Fact> decode(FactEntry entry) {
        if (entry.getKind() == FactEntry.Kind.UNRECOGNIZED) {
            return Optional.empty();
        }
        return Optional.of(new Fact(
                Fact.Kind.valueOf(entry.getKind().name()),
                entry.getSubject(),
                entry.getDetail(),
                entry.getGeneration(),
                entry.getExpiresAtMillis()));
    }
}
