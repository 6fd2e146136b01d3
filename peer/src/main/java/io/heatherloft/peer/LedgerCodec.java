package io.heatherloft.peer;

import com.google.protobuf.ByteString;
import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.configuration.VersionReference;
import io.heatherloft.domain.ledger.Bill;
import io.heatherloft.domain.ledger.ClaimToken;
import io.heatherloft.domain.ledger.LedgerRecord;
import io.heatherloft.domain.ledger.LedgerReply;
import io.heatherloft.domain.ledger.RecordedAnswer;
import io.heatherloft.domain.ledger.RequestKey;
import io.heatherloft.domain.ledger.SessionKey;
import io.heatherloft.peer.generated.AnswerEntry;
import io.heatherloft.peer.generated.BillLineEntry;
import io.heatherloft.peer.generated.ClaimEntry;
import io.heatherloft.peer.generated.KeyEntry;
import io.heatherloft.peer.generated.LedgerAnswer;
import io.heatherloft.peer.generated.PinEntry;
import io.heatherloft.peer.generated.RecordEntry;
import io.heatherloft.peer.generated.ReleaseEntry;
import io.heatherloft.peer.generated.SettlementEntry;
import io.heatherloft.peer.generated.TokenEntry;
import java.util.Optional;

/**
 * Converts ledger records and replies to and from their protobuf messages.
 *
 * <p>Invariant: decoding an encoded value yields an equal value. Stateless and thread-safe.
 */
public final class LedgerCodec {
    private LedgerCodec() {}

    public static RecordEntry encode(LedgerRecord record) {
        RecordEntry.Builder entry = RecordEntry.newBuilder();
        if (record instanceof LedgerRecord.Claim claim) {
            return entry.setClaim(ClaimEntry.newBuilder()
                            .setKey(encode(claim.key()))
                            .setToken(encode(claim.token()))
                            .setBodyDigest(claim.bodyDigest())
                            .setAtMillis(claim.atMillis()))
                    .build();
        }
        if (record instanceof LedgerRecord.Release release) {
            return entry.setRelease(ReleaseEntry.newBuilder()
                            .setKey(encode(release.key()))
                            .setToken(encode(release.token()))
                            .setAtMillis(release.atMillis()))
                    .build();
        }
        if (record instanceof LedgerRecord.Settlement settlement) {
            return entry.setSettlement(encode(settlement)).build();
        }
        return entry.setPin(encode((LedgerRecord.SessionPin) record)).build();
    }

    /**
     * Decodes a record.
     *
     * @throws IllegalArgumentException if the message has no body
     */
    public static LedgerRecord decode(RecordEntry entry) {
        return switch (entry.getBodyCase()) {
            case CLAIM -> new LedgerRecord.Claim(
                    decode(entry.getClaim().getKey()),
                    decode(entry.getClaim().getToken()),
                    entry.getClaim().getBodyDigest(),
                    entry.getClaim().getAtMillis());
            case RELEASE -> new LedgerRecord.Release(
                    decode(entry.getRelease().getKey()),
                    decode(entry.getRelease().getToken()),
                    entry.getRelease().getAtMillis());
            case SETTLEMENT -> decode(entry.getSettlement());
            case PIN -> decode(entry.getPin());
            case BODY_NOT_SET -> throw new IllegalArgumentException("ledger record message has no body");
        };
    }

    public static LedgerAnswer encode(LedgerReply reply) {
        LedgerAnswer.Builder answer = LedgerAnswer.newBuilder();
        if (reply instanceof LedgerReply.Granted) {
            answer.setKind(LedgerAnswer.Kind.GRANTED);
        } else if (reply instanceof LedgerReply.InProgress inProgress) {
            answer.setKind(LedgerAnswer.Kind.IN_PROGRESS).setSinceMillis(inProgress.sinceMillis());
        } else if (reply instanceof LedgerReply.AlreadyAnswered answered) {
            answer.setKind(LedgerAnswer.Kind.ALREADY_ANSWERED).setAnswer(encode(answered.answer()));
        } else if (reply instanceof LedgerReply.Mismatch) {
            answer.setKind(LedgerAnswer.Kind.MISMATCH);
        } else if (reply instanceof LedgerReply.Settled settled) {
            answer.setKind(LedgerAnswer.Kind.SETTLED).setFirst(settled.first());
        } else if (reply instanceof LedgerReply.Pinned pinned) {
            answer.setKind(LedgerAnswer.Kind.PINNED).setVersion(pinned.version().toString());
        } else {
            answer.setKind(LedgerAnswer.Kind.UNAVAILABLE).setReason(((LedgerReply.Unavailable) reply).reason());
        }
        return answer.build();
    }

    /**
     * Decodes a reply. A reply from a host that does not own the shard, or of a kind that this release does not know,
     * is decoded as {@link LedgerReply.Unavailable}.
     */
    public static LedgerReply decode(LedgerAnswer answer) {
        return switch (answer.getKind()) {
            case GRANTED -> new LedgerReply.Granted();
            case IN_PROGRESS -> new LedgerReply.InProgress(answer.getSinceMillis());
            case ALREADY_ANSWERED -> new LedgerReply.AlreadyAnswered(decode(answer.getAnswer()));
            case MISMATCH -> new LedgerReply.Mismatch();
            case SETTLED -> new LedgerReply.Settled(answer.getFirst());
            case PINNED -> new LedgerReply.Pinned(VersionReference.parse(answer.getVersion()));
            case NOT_OWNER -> new LedgerReply.Unavailable("not the owner of the shard");
            case UNAVAILABLE, UNRECOGNIZED -> new LedgerReply.Unavailable(answer.getReason());
        };
    }

    private static SettlementEntry encode(LedgerRecord.Settlement settlement) {
        SettlementEntry.Builder entry =
                SettlementEntry.newBuilder().setKey(encode(settlement.key())).setAtMillis(settlement.atMillis());
        settlement.token().map(LedgerCodec::encode).ifPresent(entry::setToken);
        settlement.answer().map(LedgerCodec::encode).ifPresent(entry::setAnswer);
        settlement
                .bill()
                .lines()
                .forEach(line -> entry.addLines(BillLineEntry.newBuilder()
                        .setItem(line.item())
                        .setBackendServer(line.backendServer())
                        .setInputTokens(line.inputTokens())
                        .setOutputTokens(line.outputTokens())
                        .setCostMicros(line.costMicros())));
        return entry.build();
    }

    private static LedgerRecord.Settlement decode(SettlementEntry entry) {
        Bill bill = new Bill(entry.getLinesList().stream()
                .map(line -> new Bill.Line(
                        line.getItem(),
                        line.getBackendServer(),
                        line.getInputTokens(),
                        line.getOutputTokens(),
                        line.getCostMicros()))
                .toList());
        return new LedgerRecord.Settlement(
                decode(entry.getKey()),
                entry.hasToken() ? Optional.of(decode(entry.getToken())) : Optional.empty(),
                bill,
                entry.hasAnswer() ? Optional.of(decode(entry.getAnswer())) : Optional.empty(),
                entry.getAtMillis());
    }

    private static PinEntry encode(LedgerRecord.SessionPin pin) {
        return PinEntry.newBuilder()
                .setWorkspace(pin.session().workspace())
                .setSessionId(pin.session().sessionId())
                .setModel(pin.session().model())
                .setVersion(pin.version().toString())
                .setReplaces(pin.replaces().map(VersionReference::toString).orElse(""))
                .setAtMillis(pin.atMillis())
                .build();
    }

    private static LedgerRecord.SessionPin decode(PinEntry entry) {
        return new LedgerRecord.SessionPin(
                new SessionKey(entry.getWorkspace(), entry.getSessionId(), entry.getModel()),
                VersionReference.parse(entry.getVersion()),
                entry.getReplaces().isEmpty()
                        ? Optional.empty()
                        : Optional.of(VersionReference.parse(entry.getReplaces())),
                entry.getAtMillis());
    }

    private static KeyEntry encode(RequestKey key) {
        return KeyEntry.newBuilder()
                .setWorkspace(key.workspace())
                .setAtMostOnce(key.kind() == RequestKey.Kind.AT_MOST_ONCE)
                .setRequestId(key.requestId())
                .build();
    }

    private static RequestKey decode(KeyEntry entry) {
        RequestKey.Kind kind = entry.getAtMostOnce() ? RequestKey.Kind.AT_MOST_ONCE : RequestKey.Kind.IDEMPOTENT;
        return new RequestKey(entry.getWorkspace(), kind, entry.getRequestId());
    }

    private static TokenEntry encode(ClaimToken token) {
        return TokenEntry.newBuilder()
                .setHostIncarnation(token.hostIncarnation())
                .setCounter(token.counter())
                .build();
    }

    private static ClaimToken decode(TokenEntry entry) {
        return new ClaimToken(entry.getHostIncarnation(), entry.getCounter());
    }

    private static AnswerEntry encode(RecordedAnswer answer) {
        return AnswerEntry.newBuilder()
                .setStatus(answer.status())
                .setContentType(answer.contentType())
                .setBody(ByteString.copyFrom(answer.body().toArray()))
                .setComplete(answer.complete())
                .build();
    }

    private static RecordedAnswer decode(AnswerEntry entry) {
        return new RecordedAnswer(
                entry.getStatus(),
                entry.getContentType(),
                Bytes.copyOf(entry.getBody().toByteArray()),
                entry.getComplete());
    }
}
