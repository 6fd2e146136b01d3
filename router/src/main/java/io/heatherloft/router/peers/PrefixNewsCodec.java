package io.heatherloft.router.peers;

import com.google.protobuf.ByteString;
import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.StoreRevision;
import io.heatherloft.peer.generated.PrefixNews;
import io.heatherloft.peer.generated.StoredItem;
import io.heatherloft.router.fleet.FleetView.PrefixUpdate;
import io.heatherloft.router.fleet.PrefixReplica;
import io.heatherloft.router.fleet.PrefixReplica.Change;
import java.util.List;
import java.util.Optional;

/** Converts what a host knows of a prefix of the store between its own form and that of messages. Stateless. */
final class PrefixNewsCodec {
    private PrefixNewsCodec() {}

    /**
     * Returns what this host knows of a prefix.
     *
     * @param earlierChanges changes of earlier eras that still hold
     * @param requested what the other host knows, if it requests what it lacks
     */
    static PrefixNews encode(PrefixReplica replica, List<Change> earlierChanges, Optional<PrefixNews> requested) {
        StoreRevision known = replica.knownRevision();
        long fingerprint = fingerprint(earlierChanges);
        PrefixNews.Builder news = PrefixNews.newBuilder()
                .setPrefix(replica.prefix())
                .setEra(known.era())
                .setKnownRevision(known.number())
                .setEarlierFingerprint(fingerprint);
        requested.ifPresent(request -> {
            StoreRevision reached = knownRevision(request);
            if (known.isAfter(reached)) {
                addChanges(news, replica, reached);
            }
            if (fingerprint != request.getEarlierFingerprint()) {
                earlierChanges.forEach(change -> news.addEarlierItems(encode(change)));
            }
        });
        return news.build();
    }

    private static void addChanges(PrefixNews.Builder news, PrefixReplica replica, StoreRevision reached) {
        boolean snapshot = replica.needsSnapshot(reached);
        news.setSnapshot(snapshot);
        boolean sameEra = reached.era() == replica.era();
        (snapshot && sameEra ? replica.liveEntries() : replica.changesAfter(reached))
                .forEach(change -> news.addItems(encode(change)));
    }

    private static StoredItem encode(Change change) {
        StoredItem.Builder item = StoredItem.newBuilder()
                .setKey(change.key())
                .setEra(change.revision().era())
                .setRevision(change.revision().number())
                .setDeleted(change.deleted());
        change.value().ifPresent(value -> item.setValue(ByteString.copyFrom(value.toArray())));
        return item.build();
    }

    private static long fingerprint(List<Change> changes) {
        return changes.stream()
                .mapToLong(change -> StableHash.of(change.key(), change.revision() + " " + change.deleted()))
                .sum();
    }

    /** Returns what another host told of a prefix. */
    static PrefixUpdate decode(PrefixNews news) {
        return new PrefixUpdate(
                news.getPrefix(),
                decode(news.getItemsList()),
                decode(news.getEarlierItemsList()),
                knownRevision(news),
                news.getSnapshot());
    }

    private static StoreRevision knownRevision(PrefixNews news) {
        return new StoreRevision(news.getEra(), news.getKnownRevision());
    }

    private static List<Change> decode(List<StoredItem> items) {
        return items.stream().map(PrefixNewsCodec::decode).toList();
    }

    private static Change decode(StoredItem item) {
        StoreRevision revision = new StoreRevision(item.getEra(), item.getRevision());
        Bytes value = Bytes.copyOf(item.getValue().toByteArray());
        return item.getDeleted()
                ? Change.deletion(item.getKey(), revision, value.length() == 0 ? Optional.empty() : Optional.of(value))
                : Change.put(item.getKey(), revision, value);
    }
}
