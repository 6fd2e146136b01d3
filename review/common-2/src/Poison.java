import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A request that crashes each runner that begins to run it comes again and again; after the hosts have found it out, all of
 * them are killed at the same moment and start again.
 */
final class Poison {
    private static final String TARGET = "/post/poison";
    private static final long PERIOD_MILLIS = 5_000;
    private static final int ATTEMPTS = 4;
    private static final int RUNNERS = 10;
    private static final double IN_TOUCH_SECONDS = 3.0;

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments, Poison::run);
    }

    private static int run() throws Exception {
        Kit.Store store = new Kit.Store();
        store.put("op/config", Kit.configuration(1));
        List<Runner> runners = new ArrayList<>();
        for (int index = 0; index < RUNNERS; index++) {
            runners.add(new Runner(store, "desk", "zone-" + (char) ('a' + index % 3), 6, 24, (runner, request, socket, out) -> {
                if (request.target().equals(TARGET)) {
                    Kit.note("request " + request.header("x-attempt-id") + " crashes " + runner.id());
                    runner.crash(2_500);
                    return false;
                }
                return Runner.answerAfter(20).run(runner, request, socket, out);
            }));
        }
        List<Kit.Host> hosts = Kit.newHosts(3, store.port());
        for (Kit.Host host : hosts) {
            host.start();
        }
        Kit.awaitReady(hosts, 20_000);
        Kit.sleep(4_000);
        double end = Kit.now() + 45;
        List<Thread> clients = new ArrayList<>();
        for (Kit.Host host : hosts) {
            for (int client = 0; client < 3; client++) {
                clients.add(Kit.daemon(() -> ask(host, end)));
            }
        }
        double restartedAt = 0;
        double inTouchFrom = 0;
        for (int round = 0; Kit.now() < end - 6; round++) {
            for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
                send(hosts.get((round + attempt) % hosts.size()));
            }
            Kit.sleep(200);
            if (round == 3) {
                if (Kit.TROUBLE) {
                    Kit.note("all hosts are killed and start again");
                    hosts.forEach(Kit.Host::kill);
                    for (Kit.Host killed : hosts) {
                        killed.start();
                    }
                    restartedAt = Kit.now();
                    inTouchFrom = restartedAt + IN_TOUCH_SECONDS;
                    Kit.awaitReady(hosts, 10_000);
                }
            }
            Kit.sleep((long) (PERIOD_MILLIS - (Kit.now() * 1_000) % PERIOD_MILLIS));
        }
        List<Runner.Arrival> crashes = crashes(runners);
        if (crashes.size() < 3) {
            Kit.note("fewer than three runners crashed");
            return Kit.COULD_NOT_RUN;
        }
        double judgedFrom = crashes.get(2).at() + IN_TOUCH_SECONDS;
        double killedAt = restartedAt;
        double touch = inTouchFrom;
        List<Runner.Arrival> late = crashes.stream()
                .filter(arrival -> arrival.at() > judgedFrom)
                .filter(arrival -> killedAt == 0 || arrival.at() < killedAt || arrival.at() > touch)
                .toList();
        long retries = late.stream().map(Runner.Arrival::attemptId).distinct().count();
        Kit.note(String.format(
                "the third runner crashed at %.3f; later than %.0f s after that, hosts in touch sent the request to runners in %d"
                        + " retries, %d times",
                crashes.get(2).at(), IN_TOUCH_SECONDS, retries, late.size()));
        return retries > 3 ? Kit.BROKEN : Kit.HELD;
    }

    private static List<Runner.Arrival> crashes(List<Runner> runners) {
        return runners.stream()
                .flatMap(runner -> runner.arrivals().stream())
                .filter(arrival -> arrival.target().equals(TARGET) && arrival.ran())
                .sorted(java.util.Comparator.comparingDouble(Runner.Arrival::at))
                .toList();
    }

    private static void send(Kit.Host host) {
        String id = Kit.uniqueId();
        Kit.note("request " + id + " is sent to " + host.name());
        try (Kit.Client client = new Kit.Client(host)) {
            client.send("GET", TARGET, Kit.headers(id, 4_000), new byte[0]);
            Kit.Message answer = client.receive(4_500);
            Kit.note("request " + id + ": "
                    + (answer == null ? "closed" : answer.firstLine() + " Retry-After " + answer.header("retry-after")));
        } catch (IOException failure) {
            Kit.note("request " + id + ": " + failure.getMessage());
        }
    }

    // Sound traffic.
    private static void ask(Kit.Host host, double end) {
        while (Kit.now() < end) {
            try (Kit.Client client = new Kit.Client(host)) {
                while (Kit.now() < end) {
                    client.send("GET", "/post/" + Kit.uniqueId(), Kit.headers(Kit.uniqueId(), 4_000), new byte[0]);
                    if (client.receive(6_000) == null) {
                        break;
                    }
                    Kit.sleep(100);
                }
            } catch (IOException failure) {
                Kit.sleep(200);
            }
        }
    }
}
