package io.heatherloft.domain.admission;

import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.admission.KnownCapacity.Reservation;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Predicate;
import java.util.stream.IntStream;

/**
 * Runs the admission decisions of several hosts in virtual time, against servers that run a number of requests at once, queue
 * as many and one more, and reject the rest. Confined to the test's thread.
 */
final class AdmissionHarness {
    private static final long CHECK_MILLIS = 20;
    private static final long REJECTION_MILLIS = 100;
    private static final long RECENT_MILLIS = 500;
    private static final long MAX_REPORT_AGE_MILLIS = 1_500;
    private static final int MAX_ATTEMPTS = 3;
    private static final long NOT_ACCEPTED_RETRY_MILLIS = 300;
    private static final long STOPPING_RETRY_MILLIS = 100;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
    private final List<Host> hosts;
    private final Random random;
    private final int slots;
    private final long tokenCapacity;
    final List<Server> servers;
    final List<Call> calls = new ArrayList<>();
    /** The longest time by which a refusal came after the moment at which a caller had a quarter of its time left. */
    long longestOverdueMillis;
    /** Calls that still waited in a host, or were in progress without an excuse, when the host ended. */
    final List<Call> lost = new ArrayList<>();
    /** Calls that a host refused because it stopped. */
    final List<Call> refusedByStop = new ArrayList<>();
    /** Calls that were refused although their callers had begun to read the responses. */
    final List<Call> brokenOff = new ArrayList<>();
    /** True if callers read responses as they are made, so that a call has begun once a server runs it. */
    boolean streams;
    /** Delays in milliseconds that the callers of refused requests were told. */
    final List<Long> delays = new ArrayList<>();

    private Reported sums;
    private long sumsAtMillis = -1;
    private long now;
    private long eventCount;

    /** Creates hosts that report to each other once in {@code reportMillis}, and servers. */
    AdmissionHarness(int hostCount, int serverCount, int slots, long tokenCapacity, long reportMillis, long seed) {
        this.slots = slots;
        this.tokenCapacity = tokenCapacity;
        this.random = new Random(seed);
        servers = IntStream.range(0, serverCount).mapToObj(Server::new).toList();
        hosts = IntStream.range(0, hostCount).mapToObj(Host::new).toList();
        hosts.forEach(host -> at(random.nextInt((int) reportMillis), () -> host.report(reportMillis)));
    }

    private record Event(long atMillis, long number, Runnable task) {}

    /** A caller's request with its times in milliseconds from its arrival. */
    record Load(int priority, String workspace, long objective, long deadline, long service, long tokens) {}

    /** A caller and what became of its request. */
    final class Call {
        final Load load;
        final String id = "call-" + eventCount;
        final boolean impatient;
        final long arrivedAtMillis = now;
        long askedAtMillis = -1;
        int attempts;
        int refusals;
        boolean begun;
        boolean served;

        Call(Load load, boolean impatient) {
            this.load = load;
            this.impatient = impatient;
        }

        long deadlineAtMillis() {
            return arrivedAtMillis + load.deadline();
        }
    }

    /** Lets a caller send a request at a time; an impatient one ignores Retry-After and returns after 20 ms. */
    void call(long atMillis, Load load, boolean impatient) {
        at(atMillis, () -> {
            Call call = new Call(load, impatient);
            calls.add(call);
            randomHost().ask(call);
        });
    }

    void at(long atMillis, Runnable task) {
        events.add(new Event(atMillis, eventCount++, task));
    }

    private void after(long millis, Runnable task) {
        at(now + millis, task);
    }

    /** Stops a host; callers no longer choose it from {@code noticeMillis} on, as behind a load balancer. */
    void stop(int hostIndex, long atMillis, StopDeadlines deadlines, long noticeMillis) {
        Host host = hosts.get(hostIndex);
        at(atMillis, () -> host.beginStop(deadlines));
        at(deadlines.lastSendMillis(), host::check);
        at(atMillis + noticeMillis, () -> host.outOfRotation = true);
        at(deadlines.endMillis(), host::end);
    }

    private Host randomHost() {
        List<Host> inRotation =
                hosts.stream().filter(host -> !host.outOfRotation).toList();
        return inRotation.get(random.nextInt(inRotation.size()));
    }

    /** Sums of all hosts' reports by server, and the times of the reports by host, at one moment. */
    private final class Reported {
        final int[] requests = new int[servers.size()];
        final int[] recent = new int[servers.size()];
        final long[] tokens = new long[servers.size()];
        final long[] times = new long[hosts.size()];
    }

    private Reported reported() {
        if (sumsAtMillis != now) {
            sumsAtMillis = now;
            int count = servers.size();
            sums = new Reported();
            for (Host host : hosts) {
                sums.times[host.hostIndex] = host.reportedMillis;
                long age = now - host.reportedMillis;
                for (int index = 0; index < count && age < MAX_REPORT_AGE_MILLIS; index++) {
                    sums.requests[index] += host.reportedRequests[index];
                    sums.recent[index] += age < RECENT_MILLIS ? host.reportedRequests[index] : 0;
                    sums.tokens[index] += host.reportedTokens[index];
                }
            }
        }
        return sums;
    }

    void runUntil(long endMillis) {
        while (!events.isEmpty() && events.peek().atMillis() <= endMillis) {
            Event event = events.poll();
            now = event.atMillis();
            event.task().run();
        }
    }

    double servedShare(Predicate<Load> of) {
        return servedShareSince(0, of);
    }

    double servedShareSince(long arrivedMillis, Predicate<Load> of) {
        return calls.stream()
                .filter(call -> call.arrivedAtMillis >= arrivedMillis && of.test(call.load))
                .mapToInt(call -> call.served ? 1 : 0)
                .average()
                .orElse(1);
    }

    /** A backend server. */
    final class Server {
        final int index;
        final long hash;
        final IdentityHashMap<Call, Host> held = new IdentityHashMap<>();
        final Deque<Call> queue = new ArrayDeque<>();
        int running;
        long tokens;
        long maxTokens;
        boolean gone;

        Server(int index) {
            this.index = index;
            hash = StableHash.of("server-" + index);
        }

        void receive(Host host, Call call) {
            if (gone || held.size() >= 2 * slots + 1) {
                after(2, () -> host.onRejected(this, call));
                return;
            }
            held.put(call, host);
            tokens += call.load.tokens();
            maxTokens = Math.max(maxTokens, tokens);
            queue.add(call);
            runQueued();
        }

        private void runQueued() {
            while (running < slots && !queue.isEmpty()) {
                Call call = queue.remove();
                running++;
                call.begun = streams;
                after(call.load.service(), () -> finish(call));
            }
        }

        private void finish(Call call) {
            if (gone) {
                return;
            }
            running--;
            tokens -= call.load.tokens();
            runQueued();
            call.served = now <= call.deadlineAtMillis();
            held.remove(call).onEnd(this, call, true);
        }

        /** Takes the server away; hosts learn of it at once, and the requests that it holds are lost. */
        void remove() {
            gone = true;
            new IdentityHashMap<>(held).forEach((call, host) -> host.onEnd(this, call, false));
        }
    }

    /** An entry host with the real decisions, and the counts that it keeps and reports. */
    final class Host {
        final ServiceAdmission<Call> admission = new ServiceAdmission<>();
        final int hostIndex;
        final TokenRoom room;
        final long hash;
        final int[] requests = new int[servers.size()];
        final long[] tokens = new long[servers.size()];
        int[] reportedRequests = new int[servers.size()];
        long[] reportedTokens = new long[servers.size()];
        long reportedMillis = Long.MIN_VALUE / 2;
        final long[] rejectedMillis = new long[servers.size()];
        final IdentityHashMap<Call, Long> sentMillis = new IdentityHashMap<>();
        Optional<AdmissionRequest<Call>> reserving = Optional.empty();
        Server reserved;
        long reservedUntilMillis;
        Call probe;
        long noProbeUntilMillis;
        boolean checkPending;
        boolean timerRunning;
        boolean outOfRotation;
        long lastExcusedSendMillis = Long.MAX_VALUE;

        Host(int index) {
            hostIndex = index;
            hash = StableHash.of("host-" + index);
            room = new TokenRoom(hash);
            Arrays.fill(rejectedMillis, Long.MIN_VALUE / 2);
        }

        void report(long reportMillis) {
            reportedRequests = requests.clone();
            reportedTokens = tokens.clone();
            reserving.ifPresent(request -> reportedTokens[reserved.index] += request.tokens());
            reportedMillis = now;
            sumsAtMillis = -1;
            hosts.stream().filter(host -> host.admission.waiting() > 0).forEach(Host::scheduleCheck);
            after(reportMillis, () -> report(reportMillis));
        }

        void beginStop(StopDeadlines deadlines) {
            lastExcusedSendMillis = deadlines.lastSendMillis();
            admission.beginStop(deadlines);
            check();
        }

        void end() {
            admission.waitingRequests().forEach(request -> {
                boolean _removed = admission.remove(request);
                lost.add(request.item());
            });
            sentMillis.forEach((call, sentAtMillis) -> {
                if (sentAtMillis > lastExcusedSendMillis && call.deadlineAtMillis() > now) {
                    lost.add(call);
                }
            });
        }

        void ask(Call call) {
            if (now >= call.deadlineAtMillis()) {
                return;
            }
            call.askedAtMillis = call.askedAtMillis < 0 ? now : call.askedAtMillis;
            AdmissionRequest<Call> request = new AdmissionRequest<>(
                    call,
                    call.load.priority(),
                    call.load.workspace(),
                    call.attempts > 0 || admission.isReturn(Optional.of(call.id), now),
                    call.begun,
                    call.arrivedAtMillis,
                    call.askedAtMillis,
                    call.arrivedAtMillis + call.load.objective(),
                    call.deadlineAtMillis(),
                    (double) call.load.service(),
                    call.load.tokens());
            admission.add(request);
            sendWaiting();
            if (admission.waitingRequests().contains(request)) {
                if (capacity().couldSend(call.load.tokens(), _server -> true)) {
                    admission.settle(request, now).ifPresent(this::refuse);
                } else {
                    refuse(admission.refuseUnsendable(request, now));
                }
                scheduleTimer();
            }
        }

        private KnownCapacity<Server> capacity() {
            room.update(
                    hosts.stream()
                            .filter(host -> host != this)
                            .map(host -> host.hash)
                            .toList(),
                    servers.stream()
                            .filter(server -> !server.gone)
                            .map(server -> server.hash)
                            .toList());
            return new KnownCapacity<>(
                    servers.stream()
                            .filter(server -> !server.gone)
                            .map(server -> new KnownCapacity.Server<>(server, server.hash, capacity(server.index)))
                            .toList(),
                    hash,
                    reserving.map(request -> new Reservation<>(reserved, request.tokens())));
        }

        private ServerCapacity capacity(int index) {
            Reported sums = reported();
            boolean counted = sums.times[hostIndex] > now - MAX_REPORT_AGE_MILLIS;
            boolean recent = sums.times[hostIndex] > now - RECENT_MILLIS;
            return new ServerCapacity(
                    slots,
                    tokenCapacity,
                    requests[index] + sums.requests[index] - (counted ? reportedRequests[index] : 0),
                    requests[index] + sums.recent[index] - (recent ? reportedRequests[index] : 0),
                    tokens[index] + sums.tokens[index] - (counted ? reportedTokens[index] : 0),
                    room.requestsOn(servers.get(index).hash),
                    rejectedMillis[index] > now - REJECTION_MILLIS);
        }

        private void sendWaiting() {
            Optional<AdmissionRequest<Call>> next = Optional.empty();
            do {
                KnownCapacity<Server> capacity = capacity();
                next = capacity.mayHaveSlot()
                        ? admission.next(request -> choose(capacity, request).isPresent(), now)
                        : Optional.empty();
                next.ifPresent(request ->
                        send(request, choose(capacity, request).orElseThrow(), capacity.serversWithSlot() == 0));
            } while (next.isPresent());
        }

        private Optional<Server> choose(KnownCapacity<Server> capacity, AdmissionRequest<Call> request) {
            boolean forReservation = reserving.filter(request::equals).isPresent();
            return capacity.withCapacity(request.tokens(), forReservation, _server -> true).stream()
                    .min(Comparator.comparingInt(
                                    (Server server) -> capacity(server.index).requests())
                            .thenComparingInt(server -> (server.index + (int) (hash & 63)) % servers.size()))
                    .or(() -> probe != null || now < noProbeUntilMillis
                            ? Optional.empty()
                            : capacity.leastLoadedByOldReports(request.tokens(), _server -> true));
        }

        private void send(AdmissionRequest<Call> request, Server server, boolean probing) {
            if (reserving.filter(request::equals).isPresent()) {
                reserving = Optional.empty();
            }
            Call call = request.item();
            call.attempts++;
            requests[server.index]++;
            tokens[server.index] += call.load.tokens();
            sentMillis.put(call, now);
            admission.onSent();
            probe = probing ? call : probe;
            server.receive(this, call);
        }

        private void forget(Server server, Call call) {
            requests[server.index]--;
            tokens[server.index] -= call.load.tokens();
        }

        void onRejected(Server server, Call call) {
            forget(server, call);
            rejectedMillis[server.index] = now;
            sentMillis.remove(call);
            admission.onFailed();
            if (probe == call) {
                probe = null;
                noProbeUntilMillis = now + REJECTION_MILLIS;
            }
            if (call.attempts < MAX_ATTEMPTS) {
                ask(call);
            } else if (now + 3 * NOT_ACCEPTED_RETRY_MILLIS <= call.deadlineAtMillis()) {
                call.askedAtMillis = -1;
                call.attempts = 0;
                after(NOT_ACCEPTED_RETRY_MILLIS, () -> randomHost().ask(call));
            }
        }

        void onEnd(Server server, Call call, boolean freed) {
            forget(server, call);
            long durationMillis = now - sentMillis.remove(call);
            probe = probe == call ? null : probe;
            if (freed) {
                admission.onSlotFreed((double) call.load.service(), durationMillis, now);
            } else {
                admission.onFailed();
                call.askedAtMillis = now;
                ask(call);
            }
            scheduleCheck();
        }

        private void refuse(ServiceAdmission.Refusal<Call> refusal) {
            Call call = refusal.request().item();
            if (reserving.filter(refusal.request()::equals).isPresent()) {
                reserving = Optional.empty();
            }
            if (call.begun && now < call.deadlineAtMillis()) {
                brokenOff.add(call);
            }
            call.refusals++;
            long left = call.deadlineAtMillis() - now;
            long quarter = (call.deadlineAtMillis() - call.askedAtMillis) / 4;
            longestOverdueMillis = Math.max(longestOverdueMillis, quarter - left);
            long delay = refusal.stopping()
                    ? STOPPING_RETRY_MILLIS
                    : admission.returnDelayMillis(refusal, Optional.of(call.id), now);
            if (refusal.stopping()) {
                refusedByStop.add(call);
            }
            delays.add(delay);
            if (call.impatient || 3 * delay <= left) {
                call.askedAtMillis = -1;
                call.attempts = 0;
                after(call.impatient ? 20 : delay, () -> randomHost().ask(call));
            }
        }

        private void scheduleCheck() {
            if (!checkPending && admission.waiting() > 0) {
                checkPending = true;
                after(0, this::check);
            }
        }

        private void scheduleTimer() {
            if (!timerRunning && admission.waiting() > 0) {
                timerRunning = true;
                after(CHECK_MILLIS, () -> {
                    timerRunning = false;
                    check();
                });
            }
        }

        private void check() {
            checkPending = false;
            sendWaiting();
            assertNothingWaitsBesideCapacity();
            admission.refuseOverdue(now).forEach(this::refuse);
            reserve();
            scheduleTimer();
        }

        private void reserve() {
            if (reserving.isPresent() && (now >= reservedUntilMillis || reserved.gone)) {
                reserving = Optional.empty();
            }
            if (reserving.isEmpty()) {
                KnownCapacity<Server> capacity = capacity();
                reserving = admission.firstProtected(
                        request -> !capacity.canHold(request.tokens(), _server -> true)
                                && capacity.couldSend(request.tokens(), _server -> true),
                        now);
                reserving.ifPresent(request -> {
                    reserved = capacity.toReserve(request.tokens(), _server -> true)
                            .orElseThrow();
                    reservedUntilMillis = now + 2_000;
                });
            }
        }

        private void assertNothingWaitsBesideCapacity() {
            KnownCapacity<Server> capacity = capacity();
            if (admission.waitingRequests().stream()
                    .anyMatch(request -> !capacity.withCapacity(request.tokens(), false, _server -> true)
                            .isEmpty())) {
                throw new IllegalStateException("a request waits although a known server has capacity");
            }
        }
    }
}
