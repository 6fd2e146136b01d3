import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** The runners of a service say that they are brittle; one that has to turn too many requests away falls over. */
final class Brittle {
    private static final int RUNNERS = 3;
    private static final int LIMIT = 5;
    private static final int SLOTS = 6;
    private static final int QUEUE = 24;
    private static final int BRITTLE_QUEUE = 2;
    private static final long WORK_MILLIS = 85;
    private static final long BACK_MILLIS = 3_000;
    private static final double STABLE_SECONDS = 3.0;
    private static final double REQUESTS_PER_SECOND = 150;
    private static final double BRITTLE_SECONDS = 25;

    private static volatile double brittleFrom = Double.MAX_VALUE;
    private static final AtomicInteger falls = new AtomicInteger();
    private static final AtomicInteger rejected = new AtomicInteger();
    private static final AtomicInteger answered = new AtomicInteger();
    private static final AtomicInteger refused = new AtomicInteger();
    private static final AtomicInteger failed = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments, Brittle::run);
    }

    /** What a runner does when it has no room. */
    private static final class Rejections {
        private final Deque<Double> times = new ArrayDeque<>();

        synchronized boolean isTooMany() {
            double now = Kit.now();
            times.removeIf(time -> time < now - 1);
            times.add(now);
            return now > brittleFrom && times.size() > LIMIT;
        }
    }

    private static int run() throws Exception {
        Kit.Store store = new Kit.Store();
        store.put("op/config", Kit.configuration(1));
        for (int index = 0; index < RUNNERS; index++) {
            Rejections rejections = new Rejections();
            new Runner(store, "desk", "zone-" + (char) ('a' + index), SLOTS,
                    () -> Kit.now() > brittleFrom + STABLE_SECONDS ? BRITTLE_QUEUE : QUEUE,
                    () -> Kit.now() > brittleFrom ? Map.of("Server-Brittle", String.valueOf(LIMIT)) : Map.of(),
                    runner -> {
                        rejected.incrementAndGet();
                        if (rejections.isTooMany()) {
                            Kit.note("runner " + runner.id() + " has turned away more than " + LIMIT + " in a second and falls over");
                            falls.incrementAndGet();
                            runner.crash(BACK_MILLIS);
                        }
                    },
                    Runner.answerAfter(WORK_MILLIS));
        }
        List<Kit.Host> hosts = Kit.newHosts(3, store.port());
        for (Kit.Host host : hosts) {
            host.start();
        }
        Kit.awaitReady(hosts, 20_000);
        Kit.sleep(4_000);
        Random random = new Random();
        double begin = Kit.now();
        double end = begin + 8 + BRITTLE_SECONDS;
        double next = begin;
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; next < end; number++) {
            Kit.sleep((long) ((next - Kit.now()) * 1_000));
            if (Kit.TROUBLE && brittleFrom == Double.MAX_VALUE && Kit.now() > begin + 8) {
                brittleFrom = Kit.now();
                Kit.note("the runners say that they are brittle");
            }
            Kit.Host host = hosts.get(random.nextInt(hosts.size()));
            clients.add(Kit.daemon(() -> ask(host)));
            next += -Math.log(1 - random.nextDouble()) / REQUESTS_PER_SECOND;
        }
        for (Thread client : clients) {
            client.join();
        }
        Kit.note(falls + " falls of " + RUNNERS + " runners in " + BRITTLE_SECONDS + " s, " + rejected + " requests turned away by runners; "
                + answered + " answered, " + refused + " refused, " + failed + " ended with 502 or without an answer");
        return falls.get() > 2 + RUNNERS / 10.0 ? Kit.BROKEN : answered.get() > 0 ? Kit.HELD : Kit.COULD_NOT_RUN;
    }

    private static void ask(Kit.Host host) {
        try (Kit.Client client = new Kit.Client(host)) {
            client.send("POST", "/swap/1", Kit.headers(Kit.uniqueId(), 4_000), Runner.text("b".repeat(600)));
            Kit.Message answer = client.receive(5_000);
            int status = answer == null ? 0 : answer.status();
            (status == 200 ? answered : status == 503 ? refused : failed).incrementAndGet();
        } catch (IOException failure) {
            failed.incrementAndGet();
        }
    }
}
