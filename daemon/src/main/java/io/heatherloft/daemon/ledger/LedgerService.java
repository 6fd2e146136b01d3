package io.heatherloft.daemon.ledger;

import io.heatherloft.daemon.Counters;
import io.heatherloft.daemon.Ports;
import io.heatherloft.daemon.fleet.FleetState;
import io.heatherloft.daemon.fleet.Gossiper;
import io.heatherloft.daemon.fleet.ShardOwners;
import io.heatherloft.domain.ledger.LedgerRecord;
import io.heatherloft.domain.ledger.LedgerReply;
import io.heatherloft.domain.ledger.Retention;
import io.heatherloft.domain.membership.Member;
import io.heatherloft.peer.LedgerCodec;
import io.heatherloft.peer.generated.HoldRecord;
import io.heatherloft.peer.generated.LedgerAnswer;
import io.heatherloft.peer.generated.LedgerSubmission;
import io.heatherloft.peer.generated.PeerReply;
import io.heatherloft.peer.generated.PeerRequest;
import io.heatherloft.peer.ledger.LedgerKeys;
import io.heatherloft.peer.ledger.LedgerLog;
import io.heatherloft.ports.loop.Futures;
import io.heatherloft.ports.loop.Loop;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

/**
 * The ledger as the requests of one host see it: brings each record to the owner of its shard, wherever that is.
 *
 * <p>Invariants: a record that was accepted by {@link #settle} is sent again until it is durable; a settlement is
 * confirmed only when it is durable or in memory on hosts of two availability zones. Confined to the loop's thread.
 */
public final class LedgerService {
    private static final long INITIAL_RETRY_DELAY_MILLIS = 25L;
    private static final long MAX_RETRY_DELAY_MILLIS = 1_000L;
    private static final long REPLICATION_DELAY_MILLIS = 400L;
    private static final long REPLICA_CHECK_INTERVAL_MILLIS = 1_000L;
    private static final int REPLICA_COUNT = 2;
    private static final int OUTBOX_CAPACITY = 50_000;

    private final Ports ports;
    private final FleetState fleet;
    private final Gossiper gossiper;
    private final Counters counters;
    private final Map<Integer, ShardOwner> owners = new HashMap<>();
    private final Map<Integer, ShardSender> senders = new HashMap<>();
    private final Map<LedgerRecord, Set<String>> replicaHolders = new LinkedHashMap<>();
    private boolean stopping;

    /** Creates the service of a host. */
    public LedgerService(Ports ports, FleetState fleet, Gossiper gossiper, Counters counters) {
        this.ports = ports;
        this.fleet = fleet;
        this.gossiper = gossiper;
        this.counters = counters;
    }

    /**
     * Submits a record and waits for a durable reply, up to a time in milliseconds.
     *
     * @return never fails; {@link LedgerReply.Unavailable} if no reply came in time, when the record may yet become
     *     durable
     */
    public CompletableFuture<LedgerReply> submit(LedgerRecord record, long patienceMillis) {
        CompletableFuture<LedgerReply> result = new CompletableFuture<>();
        long deadline = ports.loop().nowMillis() + patienceMillis;
        submitWithRetry(record, deadline, INITIAL_RETRY_DELAY_MILLIS, result);
        ports.loop().schedule(patienceMillis, () -> result.complete(new LedgerReply.Unavailable("no reply in time")));
        return result;
    }

    /**
     * Makes a settlement, release or pin durable, however long that takes.
     *
     * @return completes with true when the record is safe, or with false if the outbox is full
     */
    public CompletableFuture<Boolean> settle(LedgerRecord record) {
        if (isOutboxFull()) {
            return CompletableFuture.completedFuture(false);
        }
        CompletableFuture<Boolean> safe = new CompletableFuture<>();
        Futures.onResult(sendUntilDurable(record), _durable -> safe.complete(true));
        ports.loop().schedule(REPLICATION_DELAY_MILLIS, () -> replicate(record, safe));
        return safe;
    }

    /** Returns true if no further settlement can be accepted, so that no new request should start. */
    public boolean isOutboxFull() {
        return outboxSize() >= OUTBOX_CAPACITY;
    }

    /** Returns the number of records that are not durable yet. */
    public int outboxSize() {
        return senders.values().stream().mapToInt(ShardSender::size).sum();
    }

    /** Returns the records that are only in memory yet. */
    public List<LedgerRecord> recordsNotDurable() {
        return senders.values().stream()
                .flatMap(sender -> sender.records().stream())
                .toList();
    }

    /** Returns the shards that this host has read, for inspection. */
    public Collection<Integer> ownedShards() {
        return owners.entrySet().stream()
                .filter(entry -> entry.getValue().state().isPresent())
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /** Answers a record that another host sent to the owner of its shard. */
    public CompletableFuture<PeerReply> handle(LedgerSubmission submission) {
        if (!isOwner(submission.getShard())) {
            LedgerAnswer refusal = LedgerAnswer.newBuilder()
                    .setKind(LedgerAnswer.Kind.NOT_OWNER)
                    .build();
            return CompletableFuture.completedFuture(
                    PeerReply.newBuilder().setLedger(refusal).build());
        }
        return owner(submission.getShard())
                .submit(LedgerCodec.decode(submission.getRecord()))
                .thenApply(reply -> PeerReply.newBuilder()
                        .setLedger(LedgerCodec.encode(reply))
                        .build());
    }

    /** Holds a record for a host of another availability zone. */
    public PeerReply handle(HoldRecord hold, Member sender) {
        LedgerRecord record = LedgerCodec.decode(hold.getRecord());
        if (isOutboxFull() || stopping) {
            return Gossiper.acknowledge(false);
        }
        counters.count("ledger.held-for-peers");
        Futures.onResult(sendUntilDurable(record), _durable -> {});
        recordReplica(record, sender);
        return Gossiper.acknowledge(true);
    }

    /** Starts to watch over the copies of records that are not durable. */
    public void start() {
        ports.loop().repeat(REPLICA_CHECK_INTERVAL_MILLIS, this::replaceLostReplicas);
    }

    /** Takes no more records of other hosts, since this one stops. */
    public void stopAcceptingReplicas() {
        stopping = true;
    }

    /** Completes when every accepted record is durable. */
    public CompletableFuture<Void> flush() {
        CompletableFuture<Void> flushed = new CompletableFuture<>();
        awaitFlush(flushed);
        return flushed;
    }

    /** Gives each record that is not durable to another host; completes when all are taken. */
    public CompletableFuture<Void> transferPendingRecords() {
        CompletableFuture<?>[] taken = recordsNotDurable().stream()
                .map(record -> {
                    CompletableFuture<Boolean> safe = new CompletableFuture<>();
                    replicate(record, safe);
                    return safe;
                })
                .toArray(CompletableFuture<?>[]::new);
        return CompletableFuture.allOf(taken);
    }

    /** Gives up the shards of this host; records still waiting go to the next owners. */
    public void releaseShards() {
        owners.values().forEach(ShardOwner::stop);
        owners.clear();
    }

    private void awaitFlush(CompletableFuture<Void> flushed) {
        int waiting =
                owners.values().stream().mapToInt(ShardOwner::pendingCount).sum();
        if (outboxSize() == 0 && waiting == 0) {
            flushed.complete(null);
        } else {
            ports.loop().schedule(INITIAL_RETRY_DELAY_MILLIS, () -> awaitFlush(flushed));
        }
    }

    private CompletableFuture<Void> sendUntilDurable(LedgerRecord record) {
        CompletableFuture<Void> durable = sender(record).add(record);
        Futures.onResult(durable, _durable -> replicaHolders.remove(record));
        return durable;
    }

    private ShardSender sender(LedgerRecord record) {
        int shard = LedgerKeys.shardOf(record.shardHash());
        return senders.computeIfAbsent(shard, _shard -> new ShardSender(ports.loop(), this::sendToOwner));
    }

    private void submitWithRetry(LedgerRecord record, long deadline, long retryMillis, CompletableFuture<LedgerReply> result) {
        if (result.isDone()) {
            return;
        }
        Futures.onComplete(sendToOwner(record), (reply, failure) -> {
            if (failure == null && !(reply instanceof LedgerReply.Unavailable)) {
                result.complete(reply);
            } else if (ports.loop().nowMillis() + retryMillis >= deadline) {
                result.complete(new LedgerReply.Unavailable("no reply in time"));
            } else {
                counters.count("ledger.retries");
                long next = Math.min(MAX_RETRY_DELAY_MILLIS, retryMillis * 2);
                long jittered = retryMillis / 2 + ports.random().nextInt((int) retryMillis);
                ports.loop().schedule(jittered, () -> submitWithRetry(record, deadline, next, result));
            }
        });
    }

    private CompletableFuture<LedgerReply> sendToOwner(LedgerRecord record) {
        int shard = LedgerKeys.shardOf(record.shardHash());
        Member owner = fleet.shardOwners().ownerOf(shard, fleet.members());
        if (fleet.members().isSelf(owner)) {
            return owner(shard).submit(record);
        }
        PeerRequest.Builder request = PeerRequest.newBuilder()
                .setLedger(LedgerSubmission.newBuilder().setShard(shard).setRecord(LedgerCodec.encode(record)));
        return gossiper.call(owner.address(), request).thenApply(reply -> LedgerCodec.decode(reply.getLedger()));
    }

    // A record in memory has copies on other hosts; when one of these is lost another takes its place.
    private void replaceLostReplicas() {
        Set<String> living =
                fleet.members().peers().stream().map(Member::incarnationName).collect(Collectors.toSet());
        replicaHolders.values().forEach(holders -> holders.retainAll(living));
        List<LedgerRecord> lacking = replicaHolders.entrySet().stream()
                .filter(entry -> entry.getValue().size() < Math.min(REPLICA_COUNT, living.size()))
                .map(Map.Entry::getKey)
                .toList();
        lacking.forEach(record -> replicate(record, new CompletableFuture<>()));
    }

    private void replicate(LedgerRecord record, CompletableFuture<Boolean> safe) {
        if (safe.isDone() || !sender(record).contains(record)) {
            return;
        }
        Optional<Member> holder = selectReplicaHost(record);
        if (holder.isEmpty()) {
            ports.loop().schedule(REPLICATION_DELAY_MILLIS, () -> replicate(record, safe));
            return;
        }
        PeerRequest.Builder request =
                PeerRequest.newBuilder().setHold(HoldRecord.newBuilder().setRecord(LedgerCodec.encode(record)));
        Futures.onComplete(gossiper.call(holder.get().address(), request), (reply, failure) -> {
            if (failure == null && reply.getAcknowledgement().getAccepted()) {
                counters.count("ledger.held-by-peers");
                recordReplica(record, holder.get());
                safe.complete(true);
            } else {
                ports.loop().schedule(REPLICATION_DELAY_MILLIS, () -> replicate(record, safe));
            }
        });
    }

    private void recordReplica(LedgerRecord record, Member holder) {
        if (sender(record).contains(record)) {
            replicaHolders.computeIfAbsent(record, _record -> new HashSet<>()).add(holder.incarnationName());
        }
    }

    private Optional<Member> selectReplicaHost(LedgerRecord record) {
        String ownZone = fleet.members().self().availabilityZone();
        Set<String> holders = replicaHolders.getOrDefault(record, Set.of());
        List<Member> peers = fleet
                .members()
                .randomAlive(Integer.MAX_VALUE, fleet.members().self().id())
                .stream()
                .filter(member -> !holders.contains(member.incarnationName()))
                .toList();
        return peers.stream()
                .filter(member -> !member.availabilityZone().equals(ownZone))
                .findFirst()
                .or(() -> peers.stream().findFirst());
    }

    private boolean isOwner(int shard) {
        Member owner = fleet.shardOwners().ownerOf(shard, fleet.members());
        return fleet.members().isSelf(owner);
    }

    private ShardOwner owner(int shard) {
        return owners.computeIfAbsent(shard, this::newOwner);
    }

    private ShardOwner newOwner(int shard) {
        String writer = fleet.members().self().incarnationName();
        Loop loop = ports.loop();
        LedgerLog log = new LedgerLog(ports.store(), loop, shard, writer, Retention.DEFAULT);
        return new ShardOwner(loop, log, counters, sequence -> fleet.shardOwners()
                .merge(new ShardOwners.Announcement(
                        shard, sequence, fleet.members().self().id())));
    }
}
