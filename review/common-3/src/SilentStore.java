import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A slow store falls silent for some seconds just after a change. Later the operator takes a key away. */
final class SilentStore {
    private static final long SLOW_ANSWER_MILLIS = 240;
    private static final long SLOW_MILLIS = 3_000;
    private static final long CHANGE_BEFORE_SILENCE_MILLIS = 100;
    private static final long SILENT_MILLIS = 4_500;
    private static final long STABLE_WINDOW_MILLIS = 3_000;
    private static final long CONFIG_APPLY_MILLIS = 2_000;
    private static final int CHECKS = 30;

    private final Map<String, String> runs = new ConcurrentHashMap<>();

    int run(String[] arguments) throws Exception {
        boolean trouble = Fleet.hasTrouble();
        try (Fleet fleet = new Fleet(arguments, 2)) {
            for (int index = 1; index <= 3; index++) {
                RunnerStandIn runner = new RunnerStandIn("r-" + index, "127.0.0.1", (self, head, in, out) -> {
                    Http.readBody(head, in);
                    runs.put(head.header("x-attempt-id"), self.id());
                    RunnerStandIn.answer(out, head, 200, new byte[800]);
                    return true;
                });
                fleet.store.put("servers/" + runner.id(), runner.entry("desk", "skane-a", "v1", 6));
            }
            fleet.store.put("op/config", Fleet.configuration(7, ""));
            fleet.startHosts();
            Thread.sleep(STABLE_WINDOW_MILLIS);
            if (trouble) {
                fleet.store.setAnswerDelay(SLOW_ANSWER_MILLIS);
                fleet.record.say("the store takes " + SLOW_ANSWER_MILLIS + " ms an answer");
            }
            Thread.sleep(SLOW_MILLIS);
            fleet.store.put("op/config", Fleet.configuration(8, ""));
            fleet.record.say("configuration 8 acknowledged");
            Thread.sleep(CHANGE_BEFORE_SILENCE_MILLIS);
            if (trouble) {
                fleet.store.setSilent(true);
                fleet.record.say("the store is silent");
            }
            Thread.sleep(SILENT_MILLIS);
            fleet.store.setSilent(false);
            fleet.store.setAnswerDelay(4);
            fleet.record.say("the store answers again");
            Thread.sleep(STABLE_WINDOW_MILLIS + 1_000);

            fleet.store.put("op/config", Fleet.configuration(9, "").replace("key-1", "key-2"));
            long acknowledged = fleet.record.millis();
            fleet.record.say("configuration 9 takes key-1 away; acknowledged");
            Thread.sleep(CONFIG_APPLY_MILLIS + 500);
            int stale = 0;
            int sent = 0;
            for (int check = 0; check < CHECKS; check++) {
                for (int host = 0; host < 2; host++) {
                    String id = "after-" + check + "-host-" + (host + 1);
                    long sentMillis = fleet.record.millis() - acknowledged;
                    String status = lookUp(fleet, host, id);
                    boolean run = runs.containsKey(id);
                    sent++;
                    stale += run ? 1 : 0;
                    fleet.record.add(id + " with key-1, sent " + sentMillis + " ms after the acknowledgement: " + status
                            + ", run " + run);
                }
                Thread.sleep(1_000);
            }
            for (EntryHost host : fleet.hosts) {
                for (String line : host.logLines()) {
                    if (line.contains("\"configuration\"") || line.contains("\"dependency_lost\"")) {
                        fleet.record.add("log: " + line);
                    }
                }
            }
            fleet.record.say(stale + " of " + sent + " requests ran with a key that had been taken away");
            fleet.record.say(stale > 0 ? "BROKEN" : "held");
            return stale > 0 ? 1 : 0;
        }
    }

    private static String lookUp(Fleet fleet, int host, String id) {
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
