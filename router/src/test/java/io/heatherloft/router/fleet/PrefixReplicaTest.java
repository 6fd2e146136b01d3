package io.heatherloft.router.fleet;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.StoreRevision;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class PrefixReplicaTest {
    private static Map<String, StoreRevision> liveRevisions(PrefixReplica replica) {
        return replica.liveEntries().stream()
                .collect(Collectors.toMap(PrefixReplica.Change::key, PrefixReplica.Change::revision));
    }

    @Nested
    final class ChangesInAnyOrder {
        @Test
        void converge_to_the_state_in_revision_order() {
            for (int seed = 0; seed < 200; seed++) {
                Random random = new Random(seed);
                TreeMap<Long, PrefixReplica.Change> history = new TreeMap<>();
                for (long revision = 1; revision <= 40; revision++) {
                    Bytes value = Bytes.ofText("v" + revision);
                    boolean deleted = random.nextBoolean();
                    history.put(
                            revision,
                            new PrefixReplica.Change(
                                    "k" + random.nextInt(6),
                                    StoreRevision.ofFirstEra(revision),
                                    Optional.of(value),
                                    deleted));
                }
                Map<String, StoreRevision> expected = new TreeMap<>();
                history.values().forEach(change -> {
                    if (change.deleted()) {
                        expected.remove(change.key());
                    } else {
                        expected.put(change.key(), change.revision());
                    }
                });
                PrefixReplica replica = new PrefixReplica("k");
                java.util.List<PrefixReplica.Change> shuffled = new java.util.ArrayList<>(history.values());
                java.util.Collections.shuffle(shuffled, random);
                shuffled.forEach(replica::apply);
                assertThat(liveRevisions(replica)).isEqualTo(expected);
            }
        }
    }

    @Nested
    final class Tombstones {
        @Test
        void that_were_dropped_require_a_snapshot_for_hosts_that_missed_them() {
            PrefixReplica replica = new PrefixReplica("k");
            for (int revision = 1; revision <= PrefixReplica.MAX_TOMBSTONES + 5; revision++) {
                replica.apply(PrefixReplica.Change.deletion(
                        "k" + revision, StoreRevision.ofFirstEra(revision), Optional.empty()));
            }
            assertThat(replica.needsSnapshot(StoreRevision.ofFirstEra(4))).isTrue();
            assertThat(replica.needsSnapshot(StoreRevision.ofFirstEra(5))).isFalse();
        }
    }
}
