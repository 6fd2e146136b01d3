package io.heatherloft.domain.admission;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.admission.AdmissionHarness.Load;
import io.heatherloft.domain.admission.KnownCapacity.Server;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Loads above the capacity of the servers. Objectives and deadlines are those of callers: 200 ms to 6 s and 2.5 to 20 s. */
final class AdmissionTest {
    private static final long TOKEN_CAPACITY = 413_058;
    private static final int MEAN_SERVICE_MILLIS = 1_000;
    // Checks are 20 ms apart, and each of three sends that a server rejects takes 2 ms.
    private static final long MAX_OVERDUE_MILLIS = 26;

    private static Load randomLoad(Random random) {
        return new Load(
                random.nextInt(3),
                "w" + random.nextInt(7),
                200 + random.nextInt(5_800),
                2_500L + random.nextInt(17_500),
                300L + random.nextInt(1_400),
                0);
    }

    private static int serversFor(int hosts) {
        return hosts == 6 ? 8 : 98;
    }

    private static int slotsFor(int hosts) {
        return hosts == 6 ? 4 : 12;
    }

    private static AdmissionHarness harness(int hosts, long tokenCapacity) {
        return new AdmissionHarness(
                hosts, serversFor(hosts), slotsFor(hosts), tokenCapacity, Math.max(200, 8L * hosts), 3);
    }

    /** Lets callers come at random with a load of {@code factor} times the capacity of the servers. */
    private static void addCalls(
            AdmissionHarness harness,
            int hosts,
            double factor,
            long fromMillis,
            long toMillis,
            Function<Random, Load> loads,
            Predicate<Load> impatient) {
        Random random = new Random(Double.hashCode(factor) + fromMillis);
        double perMilli = factor * serversFor(hosts) * slotsFor(hosts) / MEAN_SERVICE_MILLIS;
        double time = fromMillis;
        while (time < toMillis) {
            Load load = loads.apply(random);
            harness.call((long) time, load, impatient.test(load));
            time -= Math.log(1 - random.nextDouble()) / perMilli;
        }
    }

    private static double meanWork(AdmissionHarness harness, int priority, boolean served) {
        return harness.calls.stream()
                .filter(call -> call.load.priority() == priority && call.served == served)
                .mapToLong(call -> call.load.service())
                .average()
                .orElse(served ? 0 : Double.MAX_VALUE);
    }

    @Nested
    final class ABurstAboveTheTotalCapacity {
        // Guards against refusals by chance: urgent and short requests must not be refused for others.
        @ParameterizedTest
        @ValueSource(ints = {6, 70})
        void is_refused_in_its_least_urgent_and_longest_part(int hosts) {
            AdmissionHarness harness = harness(hosts, 0);
            addCalls(harness, hosts, 0.6, 0, 3_000, AdmissionTest::randomLoad, _load -> false);
            addCalls(harness, hosts, 2.0, 3_000, 8_000, AdmissionTest::randomLoad, _load -> false);
            harness.runUntil(40_000);
            double[] served = IntStream.range(0, 3)
                    .mapToDouble(priority -> harness.servedShare(load -> load.priority() == priority))
                    .toArray();
            // The two thirds of the load with the highest priority exceed the capacity; the first third does not.
            assertThat(served[0]).isAtLeast(0.95);
            assertThat(served[0]).isAtLeast(served[1]);
            assertThat(served[1]).isAtLeast(served[2]);
            assertThat(meanWork(harness, 2, false)).isGreaterThan(meanWork(harness, 2, true));
            assertThat(harness.longestOverdueMillis).isAtMost(MAX_OVERDUE_MILLIS);
        }

        // Guards against a queue that delays requests although servers are free; the harness checks it at each step.
        @Test
        void delays_nothing_below_the_capacity() {
            AdmissionHarness harness = harness(6, 0);
            addCalls(harness, 6, 0.7, 0, 20_000, AdmissionTest::randomLoad, _load -> false);
            harness.runUntil(60_000);
            assertThat(harness.servedShare(_load -> true)).isEqualTo(1.0);
            assertThat(harness.delays).isEmpty();
        }
    }

    @Nested
    final class OneWorkspaceWithSevenTimesItsLoad {
        private double servedOfOthers(int heavyParts) {
            return IntStream.range(0, 3)
                    .mapToDouble(seed -> {
                        AdmissionHarness harness = harness(6, 0);
                        Random workspaces = new Random(seed);
                        addCalls(
                                harness,
                                6,
                                0.1 * (6 + heavyParts),
                                0,
                                30_000 + seed,
                                random -> {
                                    Load load = randomLoad(random);
                                    int workspace = Math.min(6, workspaces.nextInt(6 + heavyParts));
                                    return new Load(
                                            1, "w" + workspace, load.objective(), load.deadline(), load.service(), 0);
                                },
                                _load -> false);
                        harness.runUntil(60_000);
                        return harness.servedShare(load -> !load.workspace().equals("w6"));
                    })
                    .average()
                    .orElseThrow();
        }

        // Seven workspaces with a tenth of the capacity each; one of them grows to seven tenths, which makes 1.3 in
        // all.
        @Test
        void does_not_take_from_the_others() {
            assertThat(servedOfOthers(7)).isAtLeast(servedOfOthers(1) - 0.02);
        }
    }

    @Nested
    final class CallersThatRetryImmediately {
        private AdmissionHarness run(Predicate<Load> impatient) {
            AdmissionHarness harness = harness(6, 0);
            addCalls(harness, 6, 1.5, 0, 30_000, AdmissionTest::randomLoad, impatient);
            harness.runUntil(60_000);
            return harness;
        }

        // Guards against work lost to retries, and against callers who gain by ignoring what they are told.
        @Test
        void neither_lower_what_is_served_nor_gain_by_it() {
            AdmissionHarness patient = run(_load -> false);
            AdmissionHarness mixed = run(load -> load.workspace().equals("w0"));
            AdmissionHarness impatient = run(_load -> true);
            assertThat(impatient.servedShare(_load -> true)).isAtLeast(0.9 * patient.servedShare(_load -> true));
            Predicate<Load> others = load -> !load.workspace().equals("w0");
            assertThat(mixed.servedShare(others)).isAtLeast(patient.servedShare(others) - 0.05);
        }
    }

    @Nested
    final class AHostThatStopsUnderOverload {
        private static final long STOP_MILLIS = 36_500;
        private static final long END_MILLIS = STOP_MILLIS + 7_300;
        private static final long HOT_FROM_MILLIS = 32_000;
        private static final long HOT_TO_MILLIS = 38_500;
        // A load of nine tenths, a third of which is the largest workspace's; its share grows to 7.5 times.
        private static final double PER_MILLI = 0.0054;
        private static final double HOT_FACTOR = 1 + 6.5 / 3;

        /** Runs 2 hosts and 4 servers with 12 slots; one workspace becomes hot 4.5 s before one host stops. */
        private AdmissionHarness run(long serviceMillis, long deadlineMillis, int seed) {
            AdmissionHarness harness = new AdmissionHarness(2, 4, 12, 0, 200, seed);
            Random random = new Random(seed);
            double time = 0;
            while (time < STOP_MILLIS + 12_000) {
                boolean hot = time >= HOT_FROM_MILLIS && time < HOT_TO_MILLIS;
                double factor = hot ? HOT_FACTOR : 1;
                boolean largest = random.nextDouble() < 1 - (2 / 3.0) / factor;
                String workspace = largest ? "largest" : "w" + random.nextInt(7);
                harness.call((long) time, new Load(1, workspace, 2_000, deadlineMillis, serviceMillis, 0), false);
                time -= Math.log(1 - random.nextDouble()) / (PER_MILLI * factor * 7_800 / serviceMillis);
            }
            harness.stop(0, STOP_MILLIS, new StopDeadlines(STOP_MILLIS + 2_500, END_MILLIS), 2_000);
            return harness;
        }

        // Guards against requests that waited in a stopped host until its end and got no answer: a workspace with 7.5
        // times its usual load for 6.5 s, streams of 7.8 s.
        @ParameterizedTest
        @ValueSource(ints = {1, 2, 3})
        void refuses_at_once_what_waits_and_would_outlast_it(int seed) {
            AdmissionHarness harness = run(7_800, 20_000, seed);
            harness.runUntil(STOP_MILLIS);
            List<AdmissionHarness.Call> refused = List.copyOf(harness.refusedByStop);
            harness.runUntil(STOP_MILLIS + 60_000);
            assertThat(refused).isNotEmpty();
            assertThat(harness.lost).isEmpty();
        }

        // Guards against requests that are sent so late that they cannot end before the host does.
        @ParameterizedTest
        @ValueSource(ints = {1, 2, 3})
        void sends_late_only_what_its_deadline_ends_before_it(int seed) {
            AdmissionHarness harness = run(1_200, 20_000, seed);
            harness.runUntil(STOP_MILLIS + 60_000);
            assertThat(harness.lost).isEmpty();
            assertThat(harness.servedShareSince(STOP_MILLIS - 5_000, _load -> true))
                    .isAtLeast(0.9);
        }

        // Guards against refusals of short requests by a host that can still serve them.
        @Test
        void keeps_what_its_deadline_ends_before_it() {
            AdmissionHarness harness = run(600, 4_500, 4);
            harness.runUntil(STOP_MILLIS + 2_500);
            assertThat(harness.refusedByStop.stream()
                            .filter(call -> call.deadlineAtMillis() <= END_MILLIS)
                            .toList())
                    .isEmpty();
            harness.runUntil(STOP_MILLIS + 60_000);
            assertThat(harness.lost).isEmpty();
        }
    }

    @Nested
    final class AResponseThatHasBegun {
        private static final long DEADLINE_MILLIS = 9_000;

        private static AdmissionRequest<String> request(String item, int priority, boolean begun) {
            return new AdmissionRequest<>(item, priority, "w", false, begun, 0, 0, 1_000, DEADLINE_MILLIS, 100, 0);
        }

        private static List<String> takeAll(ServiceAdmission<String> admission) {
            return Stream.generate(() -> admission.next(_request -> true, 0))
                    .takeWhile(Optional::isPresent)
                    .map(request -> request.orElseThrow().item())
                    .toList();
        }

        // Guards against a stream that is broken off because urgent requests take the slot that its server has lost.
        @Test
        void goes_first_and_leaves_the_order_of_the_others_as_it_is() {
            ServiceAdmission<String> alone = new ServiceAdmission<>();
            ServiceAdmission<String> beside = new ServiceAdmission<>();
            beside.add(request("begun", 2, true));
            IntStream.range(0, 20)
                    .mapToObj(index -> request("r" + index, index % 3, false))
                    .forEach(other -> {
                        alone.add(other);
                        beside.add(other);
                    });
            List<String> taken = takeAll(beside);
            assertThat(taken.get(0)).isEqualTo("begun");
            assertThat(taken.subList(1, taken.size())).isEqualTo(takeAll(alone));
        }

        // Guards against a stream that is broken off in favour of requests that have not begun.
        @Test
        void is_neither_displaced_nor_refused_before_its_deadline() {
            ServiceAdmission<String> admission = new ServiceAdmission<>();
            AdmissionRequest<String> begun = request("begun", 2, true);
            admission.add(begun);
            assertThat(admission.settle(begun, DEADLINE_MILLIS - 1)).isEmpty();
            IntStream.range(0, 100)
                    .mapToObj(index -> request("r" + index, 0, false))
                    .forEach(urgent -> {
                        admission.add(urgent);
                        admission.settle(urgent, 0).ifPresent(refused -> assertThat(refused.request())
                                .isNotEqualTo(begun));
                    });
            assertThat(admission.refuseOverdue(DEADLINE_MILLIS - 1).stream()
                            .map(ServiceAdmission.Refusal::request)
                            .toList())
                    .doesNotContain(begun);
            assertThat(admission.refuseOverdue(DEADLINE_MILLIS).stream()
                            .map(ServiceAdmission.Refusal::request)
                            .toList())
                    .containsExactly(begun);
        }

        // Guards against streams that end broken off for want of capacity: half of the servers go at a load of 1.5.
        @Test
        void goes_on_at_another_server_under_overload() {
            AdmissionHarness harness = harness(6, 0);
            harness.streams = true;
            addCalls(harness, 6, 1.5, 0, 12_000, AdmissionTest::randomLoad, _load -> false);
            harness.at(8_000, () -> harness.servers.subList(0, 4).forEach(AdmissionHarness.Server::remove));
            harness.runUntil(45_000);
            assertThat(harness.brokenOff).isEmpty();
        }
    }

    @Nested
    final class ALostZone {
        // A quarter of the servers goes at a load of 0.9: what is most urgent fits the rest and must not notice.
        @ParameterizedTest
        @ValueSource(ints = {6, 70})
        void costs_the_least_urgent_requests(int hosts) {
            AdmissionHarness harness = harness(hosts, 0);
            addCalls(harness, hosts, 0.9, 0, 12_000, AdmissionTest::randomLoad, _load -> false);
            harness.at(5_000, () -> harness.servers.stream()
                    .filter(server -> server.index % 4 == 0)
                    .forEach(AdmissionHarness.Server::remove));
            harness.runUntil(45_000);
            // Those that arrived after the loss; it hits requests in progress whatever their priority.
            double[] served = IntStream.range(0, 3)
                    .mapToDouble(priority -> harness.servedShareSince(5_000, load -> load.priority() == priority))
                    .toArray();
            assertThat(served[0]).isAtLeast(0.95);
            assertThat(served[0]).isAtLeast(served[1]);
            assertThat(served[1]).isAtLeast(served[2]);
        }
    }

    @Nested
    final class LongPromptsBesideShortOnes {
        private static final long LONG = 150_000;

        // One request in eight holds 150,000 tokens: tokens run out before slots do.
        private AdmissionHarness run(int hosts) {
            AdmissionHarness harness = harness(hosts, TOKEN_CAPACITY);
            addCalls(
                    harness,
                    hosts,
                    1.3,
                    0,
                    15_000,
                    random -> {
                        Load load = randomLoad(random);
                        return new Load(
                                1,
                                load.workspace(),
                                load.objective(),
                                load.deadline(),
                                load.service(),
                                random.nextInt(8) == 0 ? LONG : 4_000L + random.nextInt(80_000));
                    },
                    _load -> false);
            harness.runUntil(45_000);
            return harness;
        }

        @ParameterizedTest
        @ValueSource(ints = {6})
        void crash_no_server_and_are_not_starved(int hosts) {
            AdmissionHarness harness = run(hosts);
            harness.servers.forEach(server -> assertThat(server.maxTokens).isAtMost(TOKEN_CAPACITY));
            assertThat(harness.servedShare(load -> load.tokens() == LONG))
                    .isAtLeast(harness.servedShare(_load -> true) / 4);
        }
    }

    @Nested
    final class SustainedOverload {
        private void assertNoGroupStarves(int hosts, Function<Random, Load> loads) {
            AdmissionHarness harness = harness(hosts, 0);
            addCalls(harness, hosts, 1.5, 0, hosts == 6 ? 40_000 : 8_000, loads, _load -> false);
            harness.runUntil(70_000);
            double quarter = harness.servedShare(_load -> true) / 4;
            Stream<Predicate<Load>> priorities =
                    IntStream.range(0, 3).mapToObj(value -> load -> load.priority() == value);
            Stream<Predicate<Load>> sizes =
                    IntStream.range(0, 4).mapToObj(value -> load -> (load.service() - 300) / 350 == value);
            Stream<Predicate<Load>> workspaces = IntStream.range(0, 7)
                    .mapToObj(value -> load -> load.workspace().equals("w" + value));
            Stream.of(priorities, sizes, workspaces)
                    .flatMap(group -> group)
                    .forEach(group -> assertThat(harness.servedShare(group)).isAtLeast(quarter));
            assertThat(harness.longestOverdueMillis).isAtMost(MAX_OVERDUE_MILLIS);
        }

        @ParameterizedTest
        @ValueSource(ints = {6, 70})
        void starves_no_priority_size_or_workspace(int hosts) {
            assertNoGroupStarves(hosts, AdmissionTest::randomLoad);
        }

        // The two highest priorities alone exceed the capacity.
        @Test
        void starves_no_priority_whose_callers_are_few() {
            assertNoGroupStarves(6, random -> {
                Load load = randomLoad(random);
                int sixth = random.nextInt(6);
                return new Load(
                        sixth < 3 ? 0 : sixth < 5 ? 1 : 2,
                        load.workspace(),
                        load.objective(),
                        load.deadline(),
                        load.service(),
                        0);
            });
        }
    }

    @Nested
    final class ReturnsAfterRefusals {
        // Guards against a second burst: callers refused at one moment must not come back at one moment.
        @ParameterizedTest
        @ValueSource(longs = {2_500, 8_000, 20_000})
        void are_spread_and_leave_two_thirds_of_the_time(long timeLeftMillis) {
            for (OptionalDouble wait : List.of(
                    OptionalDouble.empty(), OptionalDouble.of(0), OptionalDouble.of(700), OptionalDouble.of(60_000))) {
                long[] delays = IntStream.range(0, 1_000)
                        .mapToLong(index -> ReturnDelay.millis(wait, timeLeftMillis, StableHash.of("id" + index)))
                        .sorted()
                        .toArray();
                assertThat(delays[0]).isAtLeast(100);
                assertThat(delays[999]).isAtMost(timeLeftMillis / 3);
                assertThat(delays[999] - delays[0]).isAtLeast((long) (0.9 * delays[0]));
                // Evenly, each tenth of the interval gets 100; 160 is six standard deviations above.
                double step = (delays[999] - delays[0] + 1) / 10.0;
                IntStream.range(0, 10).forEach(tenth -> assertThat(Arrays.stream(delays)
                                .filter(delay -> (int) ((delay - delays[0]) / step) == tenth)
                                .count())
                        .isAtMost(160));
            }
        }

        @Test
        void go_first_in_their_workspace_only_if_they_waited() {
            ServiceAdmission<String> admission = new ServiceAdmission<>();
            AdmissionRequest<String> request =
                    new AdmissionRequest<>("a", 0, "w", false, false, 0, 0, 1_000, 9_000, 100, 0);
            ServiceAdmission.Refusal<String> refusal =
                    new ServiceAdmission.Refusal<>(request, admission.estimate(request, 0), false, false);
            long delay = admission.returnDelayMillis(refusal, Optional.of("id"), 0);
            assertThat(admission.isReturn(Optional.of("id"), 20)).isFalse();
            admission.returnDelayMillis(refusal, Optional.of("id"), 0);
            assertThat(admission.isReturn(Optional.of("other"), delay)).isFalse();
            assertThat(admission.isReturn(Optional.of("id"), delay)).isTrue();
        }
    }

    @Nested
    final class CapacityOfServers {
        private static ServerCapacity capacity(int requests, int recent, long tokens, boolean rejected) {
            return new ServerCapacity(12, TOKEN_CAPACITY, requests, recent, tokens, 1, rejected);
        }

        private static List<Server<String>> servers(ServerCapacity capacity, int count) {
            return IntStream.range(0, count)
                    .mapToObj(index -> new Server<>("s" + index, StableHash.of("s" + index), capacity))
                    .toList();
        }

        @Test
        void keeps_a_tenth_of_the_tokens_for_requests_of_other_hosts() {
            assertThat(capacity(1, 1, 300_000, false).canHold(71_000)).isTrue();
            assertThat(capacity(1, 1, 300_000, false).canHold(72_000)).isFalse();
            assertThat(capacity(0, 0, 0, false).canHold(413_058)).isTrue();
            assertThat(capacity(1, 1, 1, false).canHold(413_058)).isFalse();
            assertThat(capacity(0, 0, 0, false).canHoldAlone(413_059)).isFalse();
        }

        // Guards against a crash by hosts that choose the same server for large requests between two reports.
        @ParameterizedTest
        @ValueSource(ints = {6, 70, 360})
        void is_filled_by_one_host_only(int hosts) {
            List<Long> servers = LongStream.range(0, 98)
                    .mapToObj(index -> StableHash.mix(index, 7))
                    .toList();
            List<Long> names = LongStream.range(0, hosts)
                    .mapToObj(index -> StableHash.mix(index, 9))
                    .toList();
            int[] filling = new int[servers.size()];
            names.forEach(self -> {
                TokenRoom room = new TokenRoom(self);
                room.update(names.stream().filter(host -> !host.equals(self)).toList(), servers);
                assertThat(servers.stream().mapToInt(room::requestsOn).min().orElseThrow())
                        .isAtMost(2);
                IntStream.range(0, filling.length)
                        .forEach(index -> filling[index] += room.requestsOn(servers.get(index)) == 1 ? 1 : 0);
            });
            Arrays.stream(filling).forEach(count -> assertThat(count).isEqualTo(1));
        }

        @Test
        void that_is_used_up_by_old_reports_only_gets_a_request_unless_a_server_just_rejected_one() {
            Predicate<String> any = _server -> true;
            Function<ServerCapacity, Optional<String>> chosen = capacity ->
                    new KnownCapacity<>(servers(capacity, 2), 1, Optional.empty()).leastLoadedByOldReports(4_000, any);
            assertThat(chosen.apply(capacity(12, 3, 48_000, false))).isPresent();
            assertThat(chosen.apply(capacity(12, 12, 48_000, false))).isEmpty();
            assertThat(chosen.apply(capacity(12, 3, 48_000, true))).isEmpty();
            assertThat(chosen.apply(capacity(12, 3, 400_000, false))).isEmpty();
        }
    }
}
