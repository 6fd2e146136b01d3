package io.heatherloft.soak;

import io.heatherloft.standins.platform.RunnerStandIn;
import java.net.http.HttpResponse;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Checks how a calm fleet treats a prompt part and a request that crash servers, a server that names a limit, one that leaves, and
 * a zone that is evacuated.
 *
 * <p>Confined to one thread.
 */
final class TroubledServerChecks {
    private static final int REFUSED = 503;
    private static final int OK = 200;
    private static final String SOUND_PART = "91bd3f06";
    private static final int MAX_CRASHING_REQUESTS_PER_HOST = 8;
    private static final int MAX_POLLS = 300;
    private static final int POLL_MILLIS = 100;
    // The rule on limits: one and a half times the limit, and five requests, from 3 s after the first naming.
    private static final String LIMITED_SERVER = "desk-1";
    private static final String LEAVING_SERVER = "desk-2";
    // The zone of all servers of the soak.
    private static final String EVACUATION_KEY = "op/evacuate/a";
    // The rule on evacuations: time after which nothing is sent to the zone.
    private static final double EVACUATION_SECONDS = 5;
    private static final double LIMIT_PER_SECOND = 2;
    private static final double TOLERANCE_FACTOR = 1.5;
    private static final double TOLERATED_REQUESTS = 5;
    private static final double STABLE_WINDOW_SECONDS = 3;
    private static final double MEASURED_SECONDS = 4;
    private static final int REQUEST_PAUSE_MILLIS = 10;
    private static final double MIN_QUARANTINE_SECONDS = 60;
    private static final double NANOS_PER_SECOND = 1e9;

    private final SoakFleet fleet;
    private final InvariantChecker checker;
    private final SoakCaller caller;
    private final List<String> addresses;
    private int requests;

    TroubledServerChecks(SoakFleet fleet, InvariantChecker checker, long seed) {
        this.fleet = fleet;
        this.checker = checker;
        this.caller = new SoakCaller("s" + seed + "checks", List.of(), seed);
        this.addresses = fleet.hosts().stream().map(HostProcess::callerAddress).toList();
    }

    /** Sends requests with the crashing part until every host refuses them. */
    void checkCrashingPrompt() throws InterruptedException {
        Set<String> refusing = new HashSet<>();
        int maxRequests = MAX_CRASHING_REQUESTS_PER_HOST * addresses.size();
        for (int sent = 0; sent < maxRequests && refusing.size() < addresses.size(); sent++) {
            String address = addresses.get(sent % addresses.size());
            if (sendStream(SoakFleet.CRASHING_PART, address)
                    .filter(TroubledServerChecks::isRefusedForItsPrompt)
                    .isPresent()) {
                refusing.add(address);
            }
            awaitServers();
        }
        if (refusing.size() < addresses.size()) {
            checker.addFinding("only " + refusing + " refuse requests with the crashing part");
            return;
        }
        long before = crashingRequests();
        for (String address : addresses) {
            Optional<HttpResponse<String>> _refused = sendStream(SoakFleet.CRASHING_PART, address);
        }
        if (crashingRequests() > before) {
            checker.addFinding((crashingRequests() - before) + " requests with the crashing part reached servers");
        }
        for (String address : addresses) {
            int polls = 0;
            while (sendStream(SOUND_PART, address)
                            .filter(response -> response.statusCode() == OK)
                            .isEmpty()
                    && polls < MAX_POLLS) {
                polls++;
                Thread.sleep(POLL_MILLIS);
            }
            if (polls == MAX_POLLS) {
                checker.addFinding(address + ": refuses requests with a sound part");
            }
        }
    }

    /** Sends a request that crashes its servers until every host refuses it. */
    void checkCrashingRequest() throws InterruptedException {
        Set<String> refusing = new HashSet<>();
        int maxRequests = MAX_CRASHING_REQUESTS_PER_HOST * addresses.size();
        for (int sent = 0; sent < maxRequests && refusing.size() < addresses.size(); sent++) {
            String address = addresses.get(sent % addresses.size());
            if (isCrashingBookingRefused(address)) {
                refusing.add(address);
            }
            awaitServers();
        }
        if (refusing.size() < addresses.size()) {
            checker.addFinding("only " + refusing + " refuse the request that crashes servers");
        }
        int before = crashingBookings();
        for (String address : addresses) {
            boolean _refused = isCrashingBookingRefused(address);
        }
        if (crashingBookings() > before) {
            checker.addFinding("the request that crashes servers reached one although all hosts had refused it");
        }
    }

    private boolean isCrashingBookingRefused(String address) throws InterruptedException {
        requests++;
        InvariantChecker.SentRequest request =
                new InvariantChecker.SentRequest(InvariantChecker.Kind.BOOKING, "checks-" + requests);
        checker.onSent(request);
        return caller.sendCrashingBooking(request, address)
                .filter(TroubledServerChecks::isRefusedAsCrashing)
                .isPresent();
    }

    // Builds before the incident of crashing requests ask callers to wait for a minute, later ones for five.
    private static boolean isRefusedAsCrashing(HttpResponse<String> response) {
        return response.statusCode() == REFUSED
                && response.headers()
                        .firstValue("Retry-After")
                        .filter(value -> Double.parseDouble(value) >= MIN_QUARANTINE_SECONDS)
                        .isPresent();
    }

    private Optional<HttpResponse<String>> sendStream(String part, String address) throws InterruptedException {
        requests++;
        InvariantChecker.SentRequest request =
                new InvariantChecker.SentRequest(InvariantChecker.Kind.STREAM, "checks-" + requests);
        checker.onSent(request);
        return caller.sendStream(request, part, address);
    }

    // Of the reasons for a refusal, this one alone asks callers to wait for five minutes.
    private static boolean isRefusedForItsPrompt(HttpResponse<String> response) {
        return response.statusCode() == REFUSED
                && response.headers()
                        .firstValue("Retry-After")
                        .filter(value -> value.startsWith("300"))
                        .isPresent();
    }

    private void awaitServers() throws InterruptedException {
        BooleanSupplier crashed = () -> {
            boolean[] any = new boolean[1];
            fleet.runOnLoop(() -> any[0] = fleet.backends().values().stream().anyMatch(RunnerStandIn::isCrashed));
            return any[0];
        };
        while (crashed.getAsBoolean()) {
            Thread.sleep(POLL_MILLIS);
        }
        // The hosts learn of the restarted servers.
        Thread.sleep(POLL_MILLIS);
    }

    private long crashingRequests() {
        long[] count = new long[1];
        fleet.runOnLoop(() -> count[0] = fleet.backends().values().stream()
                .mapToLong(backend -> backend.receivedRequestsWithPart(SoakFleet.CRASHING_PART))
                .sum());
        return count[0];
    }

    /** Sends requests to all hosts while one server names a limit, and counts those that it gets. */
    void checkServerLimit() throws InterruptedException {
        fleet.runOnLoop(
                () -> fleet.backends().get(LIMITED_SERVER).setRequestLimit(OptionalDouble.of(LIMIT_PER_SECOND)));
        double _learning = sendLookupsFor(STABLE_WINDOW_SECONDS);
        int before = received(LIMITED_SERVER);
        double seconds = sendLookupsFor(MEASURED_SECONDS);
        int received = received(LIMITED_SERVER) - before;
        if (received > TOLERANCE_FACTOR * LIMIT_PER_SECOND * seconds + TOLERATED_REQUESTS) {
            checker.addFinding(LIMITED_SERVER + ": received " + received + " requests in " + seconds
                    + " s with a limit of " + LIMIT_PER_SECOND + " a second");
        }
        fleet.runOnLoop(() -> fleet.backends().get(LIMITED_SERVER).setRequestLimit(OptionalDouble.empty()));
    }

    /** Lets a server say that it leaves while its entry is ready, and counts the requests that it gets after some time. */
    void checkLeavingServer() throws InterruptedException {
        fleet.runOnLoop(() -> fleet.backends().get(LEAVING_SERVER).setLeaving(true));
        double _learning = sendLookupsFor(STABLE_WINDOW_SECONDS);
        int before = received(LEAVING_SERVER);
        double _measured = sendLookupsFor(MEASURED_SECONDS);
        if (received(LEAVING_SERVER) > before) {
            checker.addFinding(LEAVING_SERVER + ": received " + (received(LEAVING_SERVER) - before)
                    + " requests although it had said that it leaves");
        }
    }

    /** Evacuates the zone of all servers, counts the requests that they get after some time, and takes the zone back. */
    void checkEvacuatedZone() throws InterruptedException {
        fleet.runOnLoop(() -> fleet.store().put(EVACUATION_KEY, "{}"));
        double _learning = sendLookupsFor(EVACUATION_SECONDS);
        int before = receivedByAll();
        double _measured = sendLookupsFor(MEASURED_SECONDS);
        if (receivedByAll() > before) {
            checker.addFinding((receivedByAll() - before) + " requests reached an evacuated zone");
        }
        fleet.runOnLoop(() -> fleet.store().delete(EVACUATION_KEY));
        double _returning = sendLookupsFor(EVACUATION_SECONDS);
        for (String address : addresses) {
            requests++;
            SoakCaller.Exchange exchange = caller.sendLookup(String.valueOf(requests), address);
            checker.onSent(exchange.request());
            if (exchange.response() == null || exchange.response().status() != OK) {
                checker.addFinding(address + ": does not use a zone that was taken back");
            }
        }
    }

    private int receivedByAll() {
        return fleet.backends().keySet().stream().mapToInt(this::received).sum();
    }

    private double sendLookupsFor(double seconds) throws InterruptedException {
        long startNanos = System.nanoTime();
        double elapsed = 0;
        while (elapsed < seconds) {
            requests++;
            SoakCaller.Exchange exchange =
                    caller.sendLookup(String.valueOf(requests), addresses.get(requests % addresses.size()));
            checker.onSent(exchange.request());
            Thread.sleep(REQUEST_PAUSE_MILLIS);
            elapsed = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
        }
        return elapsed;
    }

    private int crashingBookings() {
        int[] count = new int[1];
        fleet.runOnLoop(() -> count[0] = (int) fleet.backends().values().stream()
                .flatMap(backend -> backend.receivedRequests().stream())
                .filter(request -> request.target().equals(SoakFleet.CRASHING_TARGET))
                .count());
        return count[0];
    }

    private int received(String server) {
        int[] count = new int[1];
        fleet.runOnLoop(
                () -> count[0] = fleet.backends().get(server).receivedRequests().size());
        return count[0];
    }
}
