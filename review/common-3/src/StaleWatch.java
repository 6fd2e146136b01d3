import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A host is cut off from the store while configurations follow one another, and is then the only one left. */
final class StaleWatch {
    // Three times the largest number of routes that a configuration of the site adds at once.
    private static final int ADDED_ROUTES = 1_401;
    private static final long CUT_MILLIS = 5_500;
    // Two storms of two seconds, one after the other.
    private static final long STORM_MILLIS = 4_000;
    private static final long STORM_GAP_MILLIS = 80;
    private static final long STABLE_WINDOW_MILLIS = 3_000;
    // The longer one of config_apply_ms (2,000) and revoke_ms (5,000).
    private static final long BOUND_MILLIS = 5_000;
    private static final int CHECKS = 10;

    private final Map<String, String> runs = new ConcurrentHashMap<>();

    int run(String[] arguments) throws Exception {
        boolean trouble = Fleet.hasTrouble();
        try (Fleet fleet = new Fleet(arguments, 2)) {
            CutProxy proxy = new CutProxy("127.0.0.1", fleet.store.address());
            for (int index = 1; index <= 3; index++) {
                RunnerStandIn runner = new RunnerStandIn("r-" + index, "127.0.0.1", (self, head, in, out) -> {
                    Http.readBody(head, in);
                    runs.put(head.header("x-attempt-id"), self.id());
                    RunnerStandIn.answer(out, head, 200, new byte[800]);
                    return true;
                });
                fleet.store.put("servers/" + runner.id(), runner.entry("desk", "skane-a", "v1", 6));
            }
            fleet.store.put("op/config", configuration(7, "key-1"));
            fleet.startHosts(proxy.address());
            Thread.sleep(STABLE_WINDOW_MILLIS);
            fleet.record.say("before: " + answer(fleet, 0, "before"));

            if (trouble) {
                proxy.setCut(true);
                fleet.record.say("host 1 is cut off from the store");
            }
            long cutEnd = fleet.record.millis() + CUT_MILLIS;
            long stormEnd = fleet.record.millis() + STORM_MILLIS;
            long version = 7;
            while (fleet.record.millis() < stormEnd) {
                version++;
                fleet.store.put("op/config", configuration(version, "key-1"));
                Thread.sleep(STORM_GAP_MILLIS);
            }
            fleet.record.say("configurations 8 to " + version + " written, " + configuration(7, "key-1").length()
                    + " bytes each");
            Thread.sleep(Math.max(0, cutEnd - fleet.record.millis()));
            proxy.setCut(false);
            fleet.record.say("host 1 reaches the store again");
            Thread.sleep(500);
            if (trouble) {
                fleet.hosts.get(1).signal("KILL");
                fleet.record.say("host 2 is killed and does not return");
            }
            Thread.sleep(STABLE_WINDOW_MILLIS);
            fleet.record.say("largest answer to a watch so far: " + fleet.store.largestWatchBytes() + " bytes");

            version++;
            fleet.store.put("op/config", configuration(version, "key-2"));
            long acknowledged = fleet.record.millis();
            fleet.record.say("configuration " + version + " takes key-1 away; acknowledged");
            Thread.sleep(BOUND_MILLIS + 500);
            int stale = 0;
            for (int check = 0; check < CHECKS; check++) {
                String id = "after-" + check;
                long sent = fleet.record.millis();
                String status = answer(fleet, 0, id);
                boolean run = runs.containsKey(id);
                stale += run ? 1 : 0;
                fleet.record.add(id + " with key-1, sent " + (sent - acknowledged) + " ms after the acknowledgement: "
                        + status + ", run " + run);
                Thread.sleep(500);
            }
            fleet.record.say("host 1 alive " + fleet.hosts.get(0).isAlive() + ", ready "
                    + fleet.hosts.get(0).readyStatus(1_000) + ", peak memory "
                    + fleet.hosts.get(0).peakMemoryMegabytes() + " MB; " + stale + " of " + CHECKS
                    + " requests ran with a key that had been taken away");
            for (String line : fleet.hosts.get(0).logLines()) {
                if (line.contains("OutOfMemory") || line.contains("dependency_")) {
                    fleet.record.add("log of host 1: " + line);
                }
            }
            fleet.record.say(stale > 0 ? "BROKEN" : "held");
            return stale > 0 ? 1 : 0;
        }
    }

    private static String configuration(long version, String key) {
        return Fleet.configuration(version, Fleet.addedRoutes(ADDED_ROUTES)).replace("key-1", key);
    }

    private static String answer(Fleet fleet, int host, String id) {
        try (Caller caller = new Caller(fleet.hosts.get(host).callers())) {
            caller.setTimeout(3_000);
            caller.send(Caller.head("GET", "/lookups/2f", id, 2_000, 0));
            Http.Head head = Http.readHead(caller.in());
            return head == null ? "closed" : String.valueOf(head.status());
        } catch (IOException failure) {
            return String.valueOf(failure.getMessage());
        }
    }
}
