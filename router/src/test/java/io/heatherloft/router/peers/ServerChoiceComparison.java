package io.heatherloft.router.peers;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Prints the table of docs/design/server-choice.md. Arguments: shapes to measure, by name. */
final class ServerChoiceComparison {
    private static final long SEED = 7;

    private ServerChoiceComparison() {}

    private static Map<String, LoadedFleet.Choice> choices() {
        Map<String, LoadedFleet.Choice> choices = new LinkedHashMap<>();
        choices.put("present", ServerChoices.of(ServerChoices::gossip, ServerChoices::present));
        choices.put("present, knows all", ServerChoices.of(ServerChoices::all, ServerChoices::present));
        choices.put("present, knows own", ServerChoices.of(ServerChoices::own, ServerChoices::present));
        choices.put("subset of 24", ServerChoices.of(ServerChoices::gossip, ServerChoices.subset(24)));
        choices.put("two asked", ServerChoices.askingTwo(ServerChoices::present));
        for (double margin : new double[] {0, 1}) {
            for (int count : new int[] {1, 2, 3}) {
                choices.put(
                        "homes " + count + " margin " + margin,
                        ServerChoices.of(ServerChoices::gossip, ServerChoices.homes(count, margin, 1_000, 25)));
            }
        }
        ServerChoices.Decision best = ServerChoices.homes(2, 1, 1_000, 25);
        choices.put("homes 2, knows all", ServerChoices.of(ServerChoices::all, best));
        choices.put("homes 2, knows own", ServerChoices.of(ServerChoices::own, best));
        return choices;
    }

    private static Map<String, LoadedFleet.Choice> trials() {
        Map<String, LoadedFleet.Choice> choices = new LinkedHashMap<>();
        for (long delay : new long[] {100, 250, 500, 1000}) {
            choices.put("present, delay " + delay, ServerChoices.of(new ServerChoices.Delayed(delay), ServerChoices::present));
            choices.put("walk 3 .75, delay " + delay, ServerChoices.of(new ServerChoices.Delayed(delay), ServerChoices.walk(3, 0.75, false)));
        }
        for (int count : new int[] {2, 3, 4, 8}) {
            for (double limit : new double[] {0, 0.5, 0.75, 0.9}) {
                choices.put("walk " + count + " " + limit, ServerChoices.of(ServerChoices::gossip, ServerChoices.walk(count, limit, false)));
            }
        }
        choices.put("walk 3 .75 all", ServerChoices.of(ServerChoices::gossip, ServerChoices.walk(3, 0.75, true)));
        return choices;
    }

    private static void trial(LoadedFleet.Shape shape, String name, LoadedFleet.Choice choice) {
        LoadedFleet fleet = new LoadedFleet(shape, choice, SEED);
        fleet.measureFor(60_000);
        fleet.removeQuarter();
        fleet.setBurst(3);
        fleet.measureFor(15_000);
        print(shape, name, "x3", fleet);
        fleet.setBurst(4);
        fleet.measureFor(15_000);
        print(shape, name, "x4", fleet);
    }

    public static void main(String[] names) {
        if (names[0].equals("trial")) {
            trials().forEach((name, choice) -> trial(LoadedFleet.SEVENTY, name, choice));
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
        print(shape, name, "cold", fleet);
        fleet.measureFor(80_000);
        fleet.measureFor(40_000);
        print(shape, name, "steady", fleet);
        fleet.setBurst(1.7);
        fleet.removeQuarter();
        fleet.measureFor(20_000);
        print(shape, name, "burst", fleet);
        fleet.setBurst(4);
        fleet.measureFor(20_000);
        print(shape, name, "x4", fleet);
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
