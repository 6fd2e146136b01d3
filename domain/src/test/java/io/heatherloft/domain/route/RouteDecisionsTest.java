package io.heatherloft.domain.route;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.domain.StableHash;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class RouteDecisionsTest {
    private static Route route(String name, String prefix, List<Destination> destinations) {
        return new Route(
                name,
                "a.example",
                prefix,
                RepeatPolicy.IDEMPOTENT,
                destinations,
                OptionalLong.empty(),
                100,
                0,
                2,
                true,
                false,
                0,
                List.of());
    }

    @Nested
    final class Lookup {
        @Test
        void finds_the_same_route_as_a_linear_search() {
            Random random = new Random(5);
            List<String> segments = List.of("a/", "b/", "c/", "ab/");
            for (int round = 0; round < 200; round++) {
                List<Route> routes = new ArrayList<>();
                IntStream.range(0, 12).forEach(index -> {
                    StringBuilder prefix = new StringBuilder("/");
                    IntStream.range(0, random.nextInt(4))
                            .forEach(_step -> prefix.append(segments.get(random.nextInt(4))));
                    routes.add(route("r" + index, prefix.toString(), List.of(new Destination("s", 1))));
                });
                RoutingConfiguration configuration =
                        new RoutingConfiguration(1, routes, List.of(), CallerLimits.DEFAULT, Map.of(), false);
                String path = "/" + segments.get(random.nextInt(4)) + segments.get(random.nextInt(4)) + "x";
                Optional<String> expected = routes.stream()
                        .map(Route::pathPrefix)
                        .filter(path::startsWith)
                        .max(Comparator.comparingInt(String::length));
                assertThat(configuration.findRoute("a.example", path).map(Route::pathPrefix))
                        .isEqualTo(expected);
            }
        }
    }

    @Nested
    final class Weights {
        @Test
        void share_requests_and_a_weight_of_zero_gets_none() {
            Route split = route(
                    "r", "/a/", List.of(new Destination("x", 90), new Destination("y", 10), new Destination("z", 0)));
            Map<String, Long> counts = IntStream.range(0, 20_000)
                    .mapToObj(index -> split.serviceFor(StableHash.of("request " + index)))
                    .collect(java.util.stream.Collectors.groupingBy(
                            service -> service, java.util.stream.Collectors.counting()));
            assertThat(counts.get("x") / 20_000.0).isWithin(0.01).of(0.9);
            assertThat(counts.get("y") / 20_000.0).isWithin(0.01).of(0.1);
            assertThat(counts.containsKey("z")).isFalse();
        }
    }

    @Nested
    final class ServerSelection {
        private List<BackendSelector.Candidate<Integer>> idle(int count) {
            return IntStream.range(0, count)
                    .mapToObj(index -> new BackendSelector.Candidate<>(
                            index, StableHash.of("server " + index), 0, 0, 64, false, true, 0))
                    .toList();
        }

        @Test
        void is_the_same_on_every_host_for_one_prefix_and_equal_loads() {
            List<BackendSelector.Candidate<Integer>> candidates = idle(8);
            for (int prefix = 0; prefix < 100; prefix++) {
                long hash = StableHash.of("prefix " + prefix);
                List<BackendSelector.Candidate<Integer>> shuffled = new ArrayList<>(candidates);
                java.util.Collections.shuffle(shuffled, new Random(prefix));
                assertThat(BackendSelector.choose(shuffled, hash, 5_000))
                        .isEqualTo(BackendSelector.choose(candidates, hash, 5_000));
            }
        }

        private double expectedMillis(
                BackendSelector.Candidate<Integer> candidate, int sharedTokens, boolean preferred) {
            double millis = candidate.failureRate() * 400;
            if (sharedTokens == 0) {
                return millis
                        + 20 * candidate.requestsInProgress() / candidate.slots()
                        + (candidate.sameZone() ? 0 : 3);
            }
            return millis
                    + 2 * candidate.requestsInProgress()
                    + candidate.pendingPromptTokens() / 22.0
                    + (preferred || candidate.prefixCached() ? 0 : sharedTokens / 22.0);
        }

        // Guards the selection of small fleets, whose candidates have no factors, against changes.
        @Test
        void has_the_shortest_expected_time_of_random_candidates_without_factors() {
            Random random = new Random(8);
            for (int round = 0; round < 500; round++) {
                int sharedTokens = random.nextInt(3) * 2_000;
                List<BackendSelector.Candidate<Integer>> candidates = IntStream.range(0, 1 + random.nextInt(12))
                        .mapToObj(index -> new BackendSelector.Candidate<>(
                                index,
                                StableHash.of("server " + index),
                                random.nextInt(60),
                                random.nextInt(4) * 500L,
                                12,
                                random.nextInt(4) == 0,
                                random.nextBoolean(),
                                random.nextInt(3) * 0.1))
                        .toList();
                long hash = random.nextLong();
                long preferred = candidates.stream()
                        .mapToLong(candidate -> StableHash.mix(candidate.idHash(), hash))
                        .max()
                        .orElseThrow();
                double shortest = candidates.stream()
                        .mapToDouble(candidate -> expectedMillis(
                                candidate, sharedTokens, StableHash.mix(candidate.idHash(), hash) == preferred))
                        .min()
                        .orElseThrow();
                BackendSelector.Candidate<Integer> chosen = candidates.get(
                        BackendSelector.choose(candidates, hash, sharedTokens).orElseThrow());
                assertThat(expectedMillis(chosen, sharedTokens, StableHash.mix(chosen.idHash(), hash) == preferred))
                        .isWithin(1e-9)
                        .of(shortest);
            }
        }

        // Without known load, the factor of a slow server must count nevertheless, or every host goes on sending to it.
        @Test
        void avoids_an_idle_server_that_is_four_times_slower_than_the_others() {
            for (int prefix = 0; prefix < 100; prefix++) {
                List<BackendSelector.Candidate<Integer>> candidates = IntStream.range(0, 8)
                        .mapToObj(index -> new BackendSelector.Candidate<>(
                                index, StableHash.of("server " + index), 0, 0, 12, false, true, 0, index == 3 ? 4 : 1))
                        .toList();
                for (int sharedTokens : List.of(0, 200, 4_870)) {
                    assertThat(BackendSelector.choose(candidates, StableHash.of("prefix " + prefix), sharedTokens))
                            .isNotEqualTo(Optional.of(3));
                }
            }
        }

        // A third of all requests share one prompt; without spilling they would overload the server that caches it.
        @Test
        void spills_a_hot_prefix_before_its_server_has_twice_the_mean_load() {
            int[] loads = new int[8];
            Random random = new Random(3);
            for (int request = 0; request < 400; request++) {
                List<BackendSelector.Candidate<Integer>> candidates = IntStream.range(0, 8)
                        .mapToObj(index -> new BackendSelector.Candidate<>(
                                index,
                                StableHash.of("server " + index),
                                loads[index],
                                loads[index] * 600L,
                                64,
                                false,
                                true,
                                0))
                        .toList();
                String prefix = random.nextInt(3) == 0 ? "hot" : "prefix " + random.nextInt(100);
                int chosen = BackendSelector.choose(candidates, StableHash.of(prefix), 5_000)
                        .orElseThrow();
                loads[chosen]++;
            }
            int most = IntStream.of(loads).max().orElseThrow();
            assertThat(most).isLessThan(2 * 400 / 8);
        }

        @Test
        void avoids_a_server_that_fails_half_of_its_requests() {
            List<BackendSelector.Candidate<Integer>> candidates = List.of(
                    new BackendSelector.Candidate<>(0, 1, 0, 0, 6, false, true, 0.5),
                    new BackendSelector.Candidate<>(1, 2, 3, 0, 6, false, false, 0));
            for (int request = 0; request < 50; request++) {
                assertThat(BackendSelector.choose(candidates, StableHash.of("r" + request), 0))
                        .isEqualTo(Optional.of(1));
            }
        }
    }

    @Nested
    final class Health {
        @Test
        void ejects_a_failing_server_and_reinstates_it_after_one_success() {
            BackendHealth health = new BackendHealth();
            long now = 0;
            while (health.isAvailable(now)) {
                health.recordFailure(now);
            }
            now += 10_000;
            assertThat(health.isAvailable(now)).isTrue();
            health.onDispatch();
            assertThat(health.isAvailable(now)).isFalse();
            health.recordSuccess();
            assertThat(health.isAvailable(now)).isTrue();
        }

        @Test
        void does_not_eject_a_server_that_fails_one_request_in_seven() {
            BackendHealth health = new BackendHealth();
            Random random = new Random(1);
            int unavailable = 0;
            for (int request = 0; request < 2_000; request++) {
                if (random.nextInt(7) == 0) {
                    health.recordFailure(request);
                } else {
                    health.recordSuccess();
                }
                unavailable += health.isAvailable(request) ? 0 : 1;
            }
            assertThat(unavailable).isLessThan(100);
        }
    }

    @Nested
    final class CrashingRequests {
        private static final long CRASHING_REQUEST = 1;
        private static final long CONCURRENT_REQUEST = 2;
        private final CrashingRequestDetector detector = new CrashingRequestDetector(0);

        private void crash(long request, String server, long nowMillis) {
            detector.recordIncompleteAnswer(request, server, nowMillis, nowMillis);
            detector.recordServerDown(server, nowMillis + 500);
        }

        @Test
        void are_blocked_after_the_third_server_and_tried_again_after_five_minutes() {
            crash(CRASHING_REQUEST, "a", 0);
            crash(CRASHING_REQUEST, "b", 1_000);
            assertThat(detector.isBlocked(CRASHING_REQUEST, 2_000)).isFalse();
            crash(CRASHING_REQUEST, "c", 2_000);
            assertThat(detector.isBlocked(CRASHING_REQUEST, 3_000)).isTrue();
            assertThat(detector.isBlocked(CRASHING_REQUEST, 300_000)).isTrue();
            assertThat(detector.isBlocked(CRASHING_REQUEST, 303_000)).isFalse();
            crash(CRASHING_REQUEST, "d", 303_000);
            assertThat(detector.isBlocked(CRASHING_REQUEST, 304_000)).isTrue();
        }

        @Test
        void are_distinguished_from_concurrent_requests_by_an_answer() {
            List.of("a", "b", "c").forEach(server -> {
                detector.recordIncompleteAnswer(CRASHING_REQUEST, server, 0, 0);
                detector.recordIncompleteAnswer(CONCURRENT_REQUEST, server, 0, 0);
                detector.recordServerDown(server, 100);
            });
            detector.recordAnswered(CONCURRENT_REQUEST, 200);
            assertThat(detector.isBlocked(CRASHING_REQUEST, 300)).isTrue();
            assertThat(detector.isBlocked(CONCURRENT_REQUEST, 300)).isFalse();
        }

        @Test
        void are_not_suspected_of_answers_lost_by_servers_that_stay_up() {
            List.of("a", "b", "c").forEach(server -> detector.recordIncompleteAnswer(CRASHING_REQUEST, server, 0, 0));
            detector.recordServerDown("a", 20_000);
            assertThat(detector.isEmpty()).isTrue();
        }

        @Test
        void are_blocked_by_crashes_merged_from_another_host() {
            CrashingRequestDetector otherHost = new CrashingRequestDetector(0);
            crash(CRASHING_REQUEST, "a", 0);
            crash(CRASHING_REQUEST, "b", 0);
            otherHost.recordIncompleteAnswer(CRASHING_REQUEST, "c", 0, 0);
            otherHost.recordServerDown("c", 100);
            detector.crashes(200, 12).forEach(seen -> otherHost.mergeCrash(seen, 200));
            assertThat(otherHost.isBlocked(CRASHING_REQUEST, 300)).isTrue();
            detector.recordAnswered(CRASHING_REQUEST, 400);
            detector.answered(500).forEach(answered -> otherHost.mergeAnswered(answered, 500));
            assertThat(otherHost.isBlocked(CRASHING_REQUEST, 600)).isFalse();
        }
    }
}
