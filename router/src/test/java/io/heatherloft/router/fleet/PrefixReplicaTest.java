package io.heatherloft.router.fleet;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.domain.Bytes;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class PrefixReplicaTest {
    private static Map<String, Long> liveRevisions(PrefixReplica values) {
        return values.liveEntries().stream()
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
                    Optional<Bytes> value =
                            random.nextBoolean() ? Optional.of(Bytes.ofText("v" + revision)) : Optional.empty();
                    history.put(revision, new PrefixReplica.Change("k" + random.nextInt(6), revision, value));
                }
                Map<String, Long> expected = new TreeMap<>();
                history.values().forEach(change -> {
                    if (change.value().isPresent()) {
                        expected.put(change.key(), change.revision());
                    } else {
                        expected.remove(change.key());
                    }
                });
                PrefixReplica values = new PrefixReplica("k");
                java.util.List<PrefixReplica.Change> shuffled = new java.util.ArrayList<>(history.values());
                java.util.Collections.shuffle(shuffled, random);
                shuffled.forEach(values::apply);
                assertThat(liveRevisions(values)).isEqualTo(expected);
            }
        }
    }

    @Nested
    final class Tombstones {
        @Test
        void that_were_dropped_require_a_snapshot_for_hosts_that_missed_them() {
            PrefixReplica values = new PrefixReplica("k");
            for (int revision = 1; revision <= PrefixReplica.MAX_TOMBSTONES + 5; revision++) {
                values.apply(new PrefixReplica.Change("k" + revision, revision, Optional.empty()));
            }
            assertThat(values.needsSnapshot(4)).isTrue();
            assertThat(values.needsSnapshot(5)).isFalse();
        }
    }
}
