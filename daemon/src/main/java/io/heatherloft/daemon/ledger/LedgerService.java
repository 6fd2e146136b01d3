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
 * The ledger as seen by the requests of one host: sends each record to the owner of its shard, which may be any host.
 *
 * <p>Invariants: a record accepted by {@link #settle} is resent until it is durable; a settlement is confirmed only when
 * it is durable or in memory on hosts of two availability zones. Confined to the event loop thread.
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
     * Submits a record and waits for a durable reply.
     *
     * @param timeoutMillis maximum time to wait, in milliseconds
     * @return a future that never fails; completes with {@link LedgerReply.Unavailable} if no reply arrived in time, in
     *     which case the record may still become durable
     */
    public CompletableFuture<LedgerReply> submit(LedgerRecord record, long timeoutMillis) {
        CompletableFuture<LedgerReply> result = new CompletableFuture<>();
        long deadline = ports.loop().nowMillis() + timeoutMillis;
        submitWithRetry(record, deadline, INITIAL_RETRY_DELAY_MILLIS, result);
        ports.loop().schedule(timeoutMillis, () -> result.complete(new LedgerReply.Unavailable("no reply in time")));
        return result;
    }

    /**
     * Makes a settlement, release or pin durable, retrying without a time limit.
     *
     * @return a future that completes with true when the record is durable or replicated to another host, or with false
     *     if the outbox is full
     */
    public CompletableFuture<Boolean> settle(LedgerRecord record) {
        if (isOutboxFull()) {
            return CompletableFuture.completedFuture(false);
        }
        CompletableFuture<Boolean> confirmed = new CompletableFuture<>();
        Futures.onResult(sendUntilDurable(record), _durable -> confirmed.complete(true));
        ports.loop().schedule(REPLICATION_DELAY_MILLIS, () -> replicate(record, confirmed));
        return confirmed;
    }

    /** Returns true if no further settlement can be accepted; new requests must be refused in that case. */
    public boolean isOutboxFull() {
        return outboxSize() >= OUTBOX_CAPACITY;
    }

    /** Returns the number of accepted records that are not yet durable. */
    public int outboxSize() {
        return senders.values().stream().mapToInt(ShardSender::size).sum();
    }

    /** Returns the accepted records that are not yet durable and are held in memory only. */
    public List<LedgerRecord> recordsNotDurable() {
        return senders.values().stream()
                .flatMap(sender -> sender.records().stream())
                .toList();
    }

    /** Returns the shards that this host has loaded, for the status page. */
    public Collection<Integer> ownedShards() {
        return owners.entrySet().stream()
                .filter(entry -> entry.getValue().state().isPresent())
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /** Handles a record that another host submitted to this host as the owner of its shard. */
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

    /** Handles a request to hold a replica of another host's record; refused on a full outbox or during shutdown. */
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

    /** Starts the periodic check for lost replicas of records that are not yet durable. */
    public void start() {
        ports.loop().repeat(REPLICA_CHECK_INTERVAL_MILLIS, this::replaceLostReplicas);
    }

    /** Refuses further replicas of other hosts' records, because this host is shutting down. */
    public void stopAcceptingReplicas() {
        stopping = true;
    }

    /** Returns a future that completes when every accepted record is durable. */
    public CompletableFuture<Void> flush() {
        CompletableFuture<Void> flushed = new CompletableFuture<>();
        awaitFlush(flushed);
        return flushed;
    }

    /** Replicates each record that is not yet durable to another host; completes when all are accepted. */
    public CompletableFuture<Void> transferPendingRecords() {
        CompletableFuture<?>[] transfers = recordsNotDurable().stream()
                .map(record -> {
                    CompletableFuture<Boolean> confirmed = new CompletableFuture<>();
                    replicate(record, confirmed);
                    return confirmed;
                })
                .toArray(CompletableFuture<?>[]::new);
        return CompletableFuture.allOf(transfers);
    }

    /** Releases the shards of this host; senders resubmit pending records to the next owners. */
    public void releaseShards() {
        owners.values().forEach(ShardOwner::stop);
        owners.clear();
    }

    private void awaitFlush(CompletableFuture<Void> flushed) {
        int pending =
                owners.values().stream().mapToInt(ShardOwner::pendingCount).sum();
        if (outboxSize() == 0 && pending == 0) {
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

    private void submitWithRetry(
            LedgerRecord record, long deadline, long retryMillis, CompletableFuture<LedgerReply> result) {
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

    // A record that is not yet durable has replicas on other hosts. When a replica is lost because its host failed, the
    // record is replicated to another host.
    private void replaceLostReplicas() {
        Set<String> livePeers =
                fleet.members().peers().stream().map(Member::incarnationName).collect(Collectors.toSet());
        replicaHolders.values().forEach(holders -> holders.retainAll(livePeers));
        List<LedgerRecord> underReplicated = replicaHolders.entrySet().stream()
                .filter(entry -> entry.getValue().size() < Math.min(REPLICA_COUNT, livePeers.size()))
                .map(Map.Entry::getKey)
                .toList();
        underReplicated.forEach(record -> replicate(record, new CompletableFuture<>()));
    }

    private void replicate(LedgerRecord record, CompletableFuture<Boolean> confirmed) {
        if (confirmed.isDone() || !sender(record).contains(record)) {
            return;
        }
        Optional<Member> holder = selectReplicaHost(record);
        if (holder.isEmpty()) {
            ports.loop().schedule(REPLICATION_DELAY_MILLIS, () -> replicate(record, confirmed));
            return;
        }
        PeerRequest.Builder request =
                PeerRequest.newBuilder().setHold(HoldRecord.newBuilder().setRecord(LedgerCodec.encode(record)));
        Futures.onComplete(gossiper.call(holder.get().address(), request), (reply, failure) -> {
            if (failure == null && reply.getAcknowledgement().getAccepted()) {
                counters.count("ledger.held-by-peers");
                recordReplica(record, holder.get());
                confirmed.complete(true);
            } else {
                ports.loop().schedule(REPLICATION_DELAY_MILLIS, () -> replicate(record, confirmed));
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
