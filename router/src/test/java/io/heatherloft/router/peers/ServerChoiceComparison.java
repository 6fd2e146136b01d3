package io.heatherloft.router.peers;

import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.route.BackendSelector;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * Prints the tables of docs/design/server-choice.md. Argument: {@code 70/98}, {@code 67/63} or {@code 360/600} for the comparison in a fleet of
 * that shape, optionally with the name of a way; {@code speeds}, {@code failures} or {@code cost}.
 */
final class ServerChoiceComparison {
    private static final long SEED = Long.getLong("seed", 7);

    private ServerChoiceComparison() {}

    private static Map<String, LoadedFleet.Choice> choices() {
        Map<String, LoadedFleet.Choice> choices = new LinkedHashMap<>();
        choices.put("present", ServerChoices.of(ServerChoices::gossip, ServerChoices::present));
        choices.put("with speeds", ServerChoices.of(ServerChoices::gossip, ServerChoices::withSpeeds));
        choices.put("knows all", ServerChoices.of(ServerChoices::all, ServerChoices::present));
        choices.put("knows its own", ServerChoices.of(ServerChoices::own, ServerChoices::present));
        choices.put("subset of 24", ServerChoices.of(ServerChoices::gossip, ServerChoices.subset(24)));
        choices.put("two asked", ServerChoices.askingTwo(ServerChoices::present));
        choices.put("two homes", ServerChoices.of(ServerChoices::gossip, ServerChoices.homes(2, 0.5)));
        choices.put(
                "less loaded home, weighted by age",
                ServerChoices.of(ServerChoices.weightedByAge(800), ServerChoices.homes(2, 0)));
        choices.put("two homes, knows all", ServerChoices.of(ServerChoices::all, ServerChoices.homes(2, 0.5)));
        choices.put("two homes, knows its own", ServerChoices.of(ServerChoices::own, ServerChoices.homes(2, 0.5)));
        choices.put(
                "two homes, all 250 ms ago",
                ServerChoices.of(new ServerChoices.Delayed(250), ServerChoices.homes(2, 0.5)));
        choices.put(
                "present, all 250 ms ago", ServerChoices.of(new ServerChoices.Delayed(250), ServerChoices::present));
        return choices;
    }

    public static void main(String[] names) {
        if (names[0].equals("failures")) {
            LoadedFleet.Choice choice = ServerChoices.of(ServerChoices::gossip, ServerChoices::withSpeeds);
            compareFailure("none", choice, _fleet -> {}, _fleet -> {});
            compareFailure("7 hosts dead", choice, fleet -> failing(fleet).forEach(fleet::kill), _fleet -> {});
            compareFailure(
                    "7 hosts frozen for 10 s", choice, fleet -> failing(fleet).forEach(fleet::kill), fleet -> failing(
                                    fleet)
                            .forEach(fleet::resume));
            compareFailure(
                    "7 hosts cut off for 10 s",
                    choice,
                    fleet -> failing(fleet).forEach(fleet::cutOff),
                    fleet -> failing(fleet).forEach(fleet::resume));
            compareFailure(
                    "35 hosts cut off for 10 s",
                    choice,
                    fleet -> IntStream.range(0, 35).forEach(fleet::cutOff),
                    fleet -> IntStream.range(0, 35).forEach(fleet::resume));
            compareFailure("7 hosts restarted", choice, fleet -> failing(fleet).forEach(fleet::restart), _fleet -> {});
            compareFailure(
                    "all hosts cut off",
                    choice,
                    fleet -> IntStream.range(0, fleet.hosts.size()).forEach(fleet::cutOff),
                    _fleet -> {});
            return;
        }
        if (names[0].equals("cost")) {
            for (int count : new int[] {98, 600}) {
                System.out.println(count + " candidates: " + nanosecondsPerChoice(count) + " ns");
            }
            return;
        }
        if (names[0].equals("speeds")) {
            Map<String, LoadedFleet.Choice> ways = new LinkedHashMap<>();
            ways.put("without speeds", ServerChoices.of(ServerChoices::gossip, ServerChoices::present));
            ways.put("with speeds", ServerChoices.of(ServerChoices::gossip, ServerChoices::withSpeeds));
            ways.forEach((name, choice) -> compareSpeeds(LoadedFleet.UNEVEN, name, choice));
            ways.forEach((name, choice) -> compareSpeeds(LoadedFleet.SEVENTY, name, choice));
            return;
        }
        for (LoadedFleet.Shape shape : List.of(LoadedFleet.SEVENTY, LoadedFleet.UNEVEN, LoadedFleet.LARGE)) {
            if (List.of(names).contains(shape.name())) {
                choices().entrySet().stream()
                        .filter(way -> names.length == 1 || List.of(names).contains(way.getKey()))
                        .forEach(way -> compare(shape, way.getKey(), way.getValue()));
            }
        }
    }

    private static void compare(LoadedFleet.Shape shape, String name, LoadedFleet.Choice choice) {
        LoadedFleet fleet = new LoadedFleet(shape, choice, SEED);
        fleet.measureFor(40_000);
        print(shape, name, "start", fleet);
        // The large fleet takes minutes of processor time, so its phases are short.
        long phaseMillis = shape.hosts() > 100 ? 10_000 : 20_000;
        fleet.measureFor(4 * (phaseMillis - 10_000) * 2);
        fleet.measureFor(phaseMillis);
        print(shape, name, "steady", fleet);
        fleet.removeQuarter();
        fleet.setBurst(1.7);
        fleet.measureFor(phaseMillis);
        print(shape, name, "1.7, 3/4 of servers", fleet);
        fleet.setBurst(3);
        fleet.measureFor(phaseMillis);
        print(shape, name, "3, 3/4 of servers", fleet);
        fleet.setBurst(4);
        fleet.measureFor(phaseMillis);
        print(shape, name, "4, 3/4 of servers", fleet);
    }

    private static IntStream failing(LoadedFleet fleet) {
        return IntStream.iterate(3, index -> index < fleet.hosts.size(), index -> index + 10);
    }

    private static void compareFailure(
            String name, LoadedFleet.Choice choice, Consumer<LoadedFleet> fail, Consumer<LoadedFleet> recover) {
        for (double burst : new double[] {1.7, 3}) {
            LoadedFleet fleet = new LoadedFleet(LoadedFleet.SEVENTY, choice, SEED);
            fleet.measureFor(60_000);
            fleet.removeQuarter();
            fleet.setBurst(burst);
            fleet.measureFor(10_000);
            fail.accept(fleet);
            fleet.measureFor(10_000);
            print(fleet.shape, name, burst + ", during", fleet);
            recover.accept(fleet);
            fleet.measureFor(10_000);
            print(fleet.shape, name, burst + ", after", fleet);
        }
    }

    // The median of repeated measurements, since the machine may be busy.
    private static long nanosecondsPerChoice(int count) {
        List<BackendSelector.Candidate<Integer>> candidates = IntStream.range(0, count)
                .mapToObj(index -> new BackendSelector.Candidate<>(
                        index, StableHash.of("server " + index), index % 7, 0, 12, index % 9 == 0, true, 0))
                .toList();
        int choices = 20_000;
        long[] nanoseconds = new long[21];
        long sum = 0;
        for (int round = 0; round < nanoseconds.length; round++) {
            long start = System.nanoTime();
            for (int choice = 0; choice < choices; choice++) {
                sum += BackendSelector.choose(candidates, StableHash.mix(choice, round), 4_870)
                        .orElseThrow();
            }
            nanoseconds[round] = (System.nanoTime() - start) / choices;
        }
        Arrays.sort(nanoseconds);
        return sum == 0 ? 0 : nanoseconds[nanoseconds.length / 2];
    }

    private static void compareSpeeds(LoadedFleet.Shape shape, String name, LoadedFleet.Choice choice) {
        LoadedFleet fleet = new LoadedFleet(shape, choice, SEED);
        fleet.measureFor(60_000);
        fleet.measureFor(40_000);
        printSpeeds(name, "steady", fleet);
        fleet.servers.subList(3, 9).forEach(server -> server.speed /= 5);
        fleet.measureFor(20_000);
        printSpeeds(name, "six slow", fleet);
        fleet.servers.subList(3, 9).forEach(server -> server.speed *= 5);
        fleet.measureFor(15_000);
        printSpeeds(name, "recovered", fleet);
        fleet.measureFor(15_000);
        printSpeeds(name, "later", fleet);
        fleet.removeQuarter();
        for (double burst : new double[] {1.7, 2.3, 3, 4}) {
            fleet.setBurst(burst);
            fleet.measureFor(20_000);
            printSpeeds(name, burst + ", 3/4 of servers", fleet);
        }
    }

    private static void printSpeeds(String name, String phase, LoadedFleet fleet) {
        LoadedFleet.Measured measured = fleet.measured;
        System.out.println(String.format(
                Locale.ROOT,
                "| %s | %s | %s | %.0f | %.0f | %.0f | %.1f | %.2f%% | %.0f | %.0f | %d |",
                fleet.shape.name(),
                name,
                phase,
                measured.meanResponseMillis(),
                measured.responsePercentile(0.95),
                measured.responsePercentile(0.99),
                measured.meanWaitMillis(),
                100 * measured.rejectedShare(),
                measured.missedTokens / fleet.measuredSeconds(),
                fleet.bytesPerHostSecond(),
                IntStream.range(3, 9)
                        .map(server -> measured.sendsByServer.getOrDefault(server, 0))
                        .sum()));
    }

    private static void print(LoadedFleet.Shape shape, String name, String phase, LoadedFleet fleet) {
        LoadedFleet.Measured measured = fleet.measured;
        System.out.println(String.format(
                Locale.ROOT,
                "| %s | %s | %s | %.1f | %.0f | %.0f | %.2f%% | %d | %.0f | %.1f | %.0f |",
                shape.name(),
                name,
                phase,
                measured.meanWaitMillis(),
                measured.waitPercentile(0.95),
                measured.waitPercentile(0.99),
                100 * measured.rejectedShare(),
                measured.refused,
                measured.missedTokens / fleet.measuredSeconds(),
                fleet.messagesPerHostSecond(),
                fleet.bytesPerHostSecond()));
    }
}
