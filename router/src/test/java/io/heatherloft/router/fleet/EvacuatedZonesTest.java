package io.heatherloft.router.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.heatherloft.domain.StoreRevision;
import io.heatherloft.domain.route.BackendRegistration;
import io.heatherloft.router.VirtualLoop;
import io.heatherloft.router.log.DecisionLog;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class EvacuatedZonesTest {
    private static final StoreRevision REVISION = StoreRevision.ofFirstEra(7);

    private final VirtualLoop loop = new VirtualLoop();
    private final List<String> lines = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private final BackendRegistry registry = new BackendRegistry(
            loop,
            new DecisionLog(
                    loop,
                    "h",
                    new MetricRegistry(),
                    line -> lines.add(line.get("event")
                            + ' '
                            + line.get("zone")
                            + ' '
                            + line.get("servers")
                            + ' '
                            + line.get("outcome"))));
    private final EvacuatedZones zones = registry.evacuatedZones();

    @BeforeEach
    void listen() {
        register("s1", "a");
        register("s2", "b");
        lines.clear();
        zones.addBeginListener(zone -> events.add("begun " + zone));
        zones.addEndListener((zone, atMillis) -> events.add("ended " + zone + ' ' + atMillis));
    }

    private void register(String id, String zone) {
        registry.update(new BackendRegistration(id, 1L, "llm", "127.0.0.1:1", zone, "v1", 64, false, 0L, 0L), REVISION);
    }

    private boolean isExcluded(String id) {
        return zones.contains(registry.find(id).orElseThrow());
    }

    @Nested
    final class AnEvacuation {
        @Test
        void excludes_the_servers_of_its_zone_only_until_it_ends() {
            registry.evacuate("a", REVISION);
            assertThat(isExcluded("s1")).isTrue();
            assertThat(isExcluded("s2")).isFalse();
            registry.endEvacuation("a", REVISION);
            assertThat(isExcluded("s1")).isFalse();
        }

        @Test
        void excludes_servers_that_register_in_its_zone_or_move_there() {
            registry.evacuate("a", REVISION);
            register("s3", "a");
            register("s2", "a");
            assertThat(isExcluded("s3")).isTrue();
            assertThat(isExcluded("s2")).isTrue();
            register("s2", "b");
            assertThat(isExcluded("s2")).isFalse();
        }

        // An order that is written again must not close connections again, nor make servers count as cold twice.
        @Test
        void is_reported_once_however_often_its_order_is_written_or_removed() {
            registry.endEvacuation("a", REVISION);
            registry.evacuate("a", REVISION);
            registry.evacuate("a", REVISION);
            registry.evacuate("c", REVISION);
            assertThat(zones.count()).isEqualTo(2);
            loop.runFor(40);
            registry.endEvacuation("a", REVISION);
            registry.endEvacuation("a", REVISION);
            assertThat(zones.count()).isEqualTo(1);
            assertThat(events)
                    .containsExactly("begun a", "begun c", "ended a " + loop.nowMillis())
                    .inOrder();
            assertThat(lines)
                    .containsExactly(
                            "zone_evacuation a 1 begun", "zone_evacuation c 0 begun", "zone_evacuation a 1 ended")
                    .inOrder();
        }
    }
}
