import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Streams that may not be resumed, on a route with models of two sizes, get a low confidence from the small one. */
final class RepeatedStream {
    private static final int REQUESTS = 40;
    private static final String ROUTE = """
            {"name":"plans","host":"a.example","prefix":"/plans/","route_type":"stream","timeout_ms":20000,
            "objective_ms":1500,"priority":1,"sizes":["daka510000","rada7437b5"],"service":"desk","max_attempts":3,
            "anonymous":false,"session_affinity":true,"stream_resume":false,"gap_target_ms":1000},
            """;

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    int run(String[] arguments) throws Exception {
        int confidence = Fleet.hasTrouble() ? 10 : 95;
        try (Fleet fleet = new Fleet(arguments, 1)) {
            for (int index = 1; index <= 3; index++) {
                RunnerStandIn runner = new RunnerStandIn("r-" + index, "127.0.0.1", (self, head, in, out) -> {
                    Http.readBody(head, in);
                    String id = head.header("x-attempt-id");
                    String model = head.header("x-model-name");
                    boolean small = model.equals("daka510000");
                    String answerHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Runner-Seal: seal-" + id
                            + "\r\nX-Hint-Confidence: " + (small ? confidence : 95)
                            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
                    for (int event = 1; event <= 5; event++) {
                        Thread.sleep(50);
                        if (event == 1) {
                            // A request starts to run with its first token; the head goes out with it.
                            int count = runs.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
                            fleet.record.add(self.id() + " runs " + id + " with " + model + ", run " + count);
                        }
                        String text = "id: " + event + "\ndata: " + model + " " + event + "\n\n";
                        String chunk = Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
                        out.write(Http.ascii(event == 1 ? answerHead + chunk : chunk));
                        out.flush();
                    }
                    out.write(Http.ascii("0\r\n\r\n"));
                    out.flush();
                    return true;
                });
                fleet.store.put("servers/" + runner.id(), runner.entry("desk", "skane-a", "v1", 64));
            }
            fleet.store.put("op/config", Fleet.configuration(7, ROUTE));
            fleet.startHosts();
            Thread.sleep(3_000);
            for (int request = 0; request < REQUESTS; request++) {
                String id = "plan-" + request;
                try (Caller caller = new Caller(fleet.hosts.get(0).callers())) {
                    caller.setTimeout(5_000);
                    caller.send(Caller.head("POST", "/plans/2f", id, 20_000, 5, "X-Model-Name: *", "X-Token-Count: 500,50",
                            "X-Prompt-Prefix: 5c1e07a2:400,9" + request + ":100"), Http.ascii("hello"));
                    Http.Head head = Http.readHead(caller.in());
                    byte[] body = Http.readBody(head, caller.in());
                    fleet.record.add(id + " answered " + head.status() + ", " + body.length + " bytes");
                } catch (IOException failure) {
                    fleet.record.add(id + " " + failure.getMessage());
                }
                Thread.sleep(100);
            }
            long twice = runs.values().stream().filter(count -> count.get() > 1).count();
            fleet.record.say(twice + " of " + REQUESTS + " requests ran more than once");
            fleet.record.say(twice > 0 ? "BROKEN" : "held");
            return twice > 0 ? 1 : 0;
        }
    }
}
