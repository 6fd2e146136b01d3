import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of two hosts is lost while callers upload long bodies and the operator changes the configuration. Once the uploads are over, the operator takes a key away.
 */
final class DeafHost {
    private static final int UPLOADERS = 160;
    private static final int MIN_BODY_BYTES = 50_000;
    private static final int MAX_BODY_BYTES = 2_200_000;
    private static final long WORK_MILLIS = 4_000;
    private static final int ADDED_ROUTES = 1_401;
    private static final int STORMS = 3;
    private static final int STORM_VERSIONS = 12;
    private static final long STORM_PAUSE_MILLIS = 2_000;
    private static final long STORM_GAP_MILLIS = 330;
    private static final long STABLE_WINDOW_MILLIS = 3_000;
    // The longer one of config_apply_ms (2,000) and revoke_ms (5,000).
    private static final long BOUND_MILLIS = 5_000;
    // Deadline of a lookup and timeout_ms of its route.
    private static final int LOOKUP_MILLIS = 2_000;
    private static final int CHECKS = 10;

    private static final String UNANSWERED = "no answer within a second of the route's timeout";

    private final Map<String, Long> runs = new ConcurrentHashMap<>();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger closed = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private volatile boolean uploading = true;
    private volatile boolean lost;
    private Fleet fleet;

    int run(String[] arguments) throws Exception {
        boolean trouble = Fleet.hasTrouble();
        try (Fleet started = new Fleet(arguments, 2)) {
            fleet = started;
            for (int index = 1; index <= 3; index++) {
                RunnerStandIn runner = new RunnerStandIn("r-" + index, "127.0.0.1", (self, head, in, out) -> {
                    runs.put(head.header("x-attempt-id"), fleet.record.millis());
                    if (Http.readBody(head, in).length > 0) {
                        Thread.sleep(WORK_MILLIS);
                    }
                    RunnerStandIn.answer(out, head, 200, new byte[800]);
                    return true;
                });
                fleet.store.put("servers/" + runner.id(), runner.entry("desk", "skane-a", "v1", 64));
            }
            fleet.store.put("op/config", configuration(7, "key-1"));
            fleet.startHosts();
            Thread.sleep(STABLE_WINDOW_MILLIS);

            for (int number = 0; number < UPLOADERS; number++) {
                int uploader = number;
                Threads.start(() -> upload(uploader));
            }
            fleet.record.say(UPLOADERS + " callers upload bodies of " + MIN_BODY_BYTES + " to " + MAX_BODY_BYTES + " bytes");
            Thread.sleep(4_000);
            if (trouble) {
                lost = true;
                fleet.hosts.get(1).signal("KILL");
                fleet.record.say("host 2 is killed and does not return; its callers go to host 1");
            }
            Thread.sleep(3_000);
            long version = 7;
            for (int count = 0; count < STORMS * STORM_VERSIONS; count++) {
                version++;
                fleet.store.put("op/config", configuration(version, "key-1"));
                fleet.record.add("configuration " + version + " acknowledged; uploads answered " + answered + ", refused "
                        + refused + ", connections closed without an answer " + closed);
                Thread.sleep((count + 1) % STORM_VERSIONS == 0 ? STORM_PAUSE_MILLIS : STORM_GAP_MILLIS);
            }
            uploading = false;
            fleet.record.say("the uploads end; answered " + answered + ", refused " + refused
                    + ", connections closed without an answer " + closed + ", of these kept ones whose request had run "
                    + cut);
            Thread.sleep(10_000);
            version++;
            fleet.store.put("op/config", configuration(version, "key-2"));
            long acknowledged = fleet.record.millis();
            fleet.record.say("configuration " + version + " takes key-1 away; acknowledged");
            Thread.sleep(BOUND_MILLIS + 500);
            int stale = 0;
            int unanswered = 0;
            for (int check = 0; check < CHECKS; check++) {
                for (int host = 0; host < (trouble ? 1 : 2); host++) {
                    String id = "after-" + check + "-host-" + (host + 1);
                    long sent = fleet.record.millis();
                    String status = lookUp(fleet.hosts.get(host).callers(), id);
                    boolean run = runs.containsKey(id);
                    stale += run ? 1 : 0;
                    unanswered += status.equals(UNANSWERED) ? 1 : 0;
                    fleet.record.add(id + " with key-1, sent " + (sent - acknowledged)
                            + " ms after the acknowledgement: " + status + ", run " + run);
                }
                Thread.sleep(500);
            }
            EntryHost host = fleet.hosts.get(0);
            fleet.record.say("host 1 alive " + host.isAlive() + ", ready " + host.readyStatus(1_000) + ", peak memory "
                    + host.peakMemoryMegabytes() + " MB; " + stale + " requests ran with a key that had been taken away, " + unanswered
                    + " had no answer");
            for (String line : host.logLines()) {
                if (line.contains("\"configuration\"") || line.contains("\"dependency_lost\"")) {
                    fleet.record.add("log of host 1: " + line);
                }
            }
            boolean broken = stale > 0 || unanswered > CHECKS / 2;
            fleet.record.say(broken ? "BROKEN" : "held");
            return broken ? 1 : 0;
        }
    }

    private static String configuration(long version, String key) {
        return Fleet.configuration(version, Fleet.addedRoutes(ADDED_ROUTES))
                .replace("\"idempotent\",\n\"timeout_ms\":20000", "\"idempotent\",\n\"timeout_ms\":" + LOOKUP_MILLIS)
                .replace("key-1", key);
    }

    private InetSocketAddress hostOf(int uploader) {
        return fleet.hosts.get(lost ? 0 : uploader % 2).callers();
    }

    private void upload(int uploader) throws Exception {
        Random random = new Random(uploader);
        int count = 0;
        while (uploading) {
            String id = "";
            boolean kept = false;
            try (Caller caller = new Caller(hostOf(uploader))) {
                caller.setTimeout(21_000);
                boolean open = true;
                while (open && uploading) {
                    id = "upload-" + uploader + "-" + count;
                    count++;
                    byte[] body = new byte[MIN_BODY_BYTES + random.nextInt(MAX_BODY_BYTES - MIN_BODY_BYTES)];
                    caller.send(Caller.head("POST", "/bookings/2f", id, 20_000, body.length), body);
                    Http.Head head = Http.readHead(caller.in());
                    if (head == null) {
                        throw new EOFException("closed without an answer");
                    }
                    Http.readBody(head, caller.in());
                    (head.status() == 200 ? answered : refused).incrementAndGet();
                    fleet.record.add(id + " answered " + head.status() + ", run " + runs.containsKey(id));
                    open = !head.header("connection").equalsIgnoreCase("close");
                    kept = true;
                }
            } catch (IOException failure) {
                if (!id.isEmpty() && uploading) {
                    closed.incrementAndGet();
                    boolean run = runs.containsKey(id);
                    if (run && kept) {
                        cut.incrementAndGet();
                    }
                    fleet.record.add(id + " " + failure.getMessage() + ", kept connection " + kept + ", run " + run);
                }
                Thread.sleep(300);
            }
        }
    }

    private static String lookUp(InetSocketAddress host, String id) {
        try (Caller caller = new Caller(host)) {
            caller.setTimeout(LOOKUP_MILLIS + 1_000);
            caller.send(Caller.head("GET", "/lookups/2f", id, LOOKUP_MILLIS, 0));
            Http.Head head = Http.readHead(caller.in());
            return head == null ? "closed" : String.valueOf(head.status());
        } catch (SocketTimeoutException failure) {
            return UNANSWERED;
        } catch (IOException failure) {
            return String.valueOf(failure.getMessage());
        }
    }
}
