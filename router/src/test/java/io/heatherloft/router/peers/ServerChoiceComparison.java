package io.heatherloft.router.peers;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.IntStream;

/** Prints the table of docs/design/server-choice.md. Arguments: shapes to measure, by name. */
final class ServerChoiceComparison {
    private static final long SEED = 7;

    private ServerChoiceComparison() {}

    private static Map<String, LoadedFleet.Choice> choices() {
        Map<String, LoadedFleet.Choice> choices = new LinkedHashMap<>();
        choices.put("present", ServerChoices.of(ServerChoices::gossip, ServerChoices::present));
        choices.put("knows all", ServerChoices.of(ServerChoices::all, ServerChoices::present));
        choices.put("knows its own", ServerChoices.of(ServerChoices::own, ServerChoices::present));
        choices.put("subset of 24", ServerChoices.of(ServerChoices::gossip, ServerChoices.subset(24)));
        choices.put("two asked", ServerChoices.askingTwo(ServerChoices::present));
        choices.put("two homes", ServerChoices.of(ServerChoices::gossip, ServerChoices.walk(2, 0.5, false)));
        choices.put("two homes, knows all", ServerChoices.of(ServerChoices::all, ServerChoices.walk(2, 0.5, false)));
        choices.put(
                "two homes, knows its own", ServerChoices.of(ServerChoices::own, ServerChoices.walk(2, 0.5, false)));
        choices.put(
                "two homes, all 250 ms ago",
                ServerChoices.of(new ServerChoices.Delayed(250), ServerChoices.walk(2, 0.5, false)));
        choices.put(
                "present, all 250 ms ago", ServerChoices.of(new ServerChoices.Delayed(250), ServerChoices::present));
        return choices;
    }

    public static void main(String[] names) {
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
                choices().forEach((name, choice) -> compare(shape, name, choice));
            }
        }
    }

    private static void compare(LoadedFleet.Shape shape, String name, LoadedFleet.Choice choice) {
        LoadedFleet fleet = new LoadedFleet(shape, choice, SEED);
        fleet.measureFor(40_000);
        print(shape, name, "start", fleet);
        fleet.measureFor(80_000);
        fleet.measureFor(20_000);
        print(shape, name, "steady", fleet);
        fleet.removeQuarter();
        fleet.setBurst(1.7);
        fleet.measureFor(20_000);
        print(shape, name, "1.7, 3/4 of servers", fleet);
        fleet.setBurst(3);
        fleet.measureFor(20_000);
        print(shape, name, "3, 3/4 of servers", fleet);
        fleet.setBurst(4);
        fleet.measureFor(20_000);
        print(shape, name, "4, 3/4 of servers", fleet);
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
        fleet.setBurst(1.7);
        fleet.removeQuarter();
        fleet.measureFor(20_000);
        printSpeeds(name, "burst", fleet);
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
