package io.heatherloft.standins.platform;

import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.http.CallerExchange;
import io.heatherloft.router.http.CallerHandler;
import io.heatherloft.router.http.CallerRequest;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Stand-in for a backend server of the platform.
 *
 * <p>Responds to streaming requests with numbered events and to other requests with a short body. Tests can queue the
 * behaviour for the next requests. Confined to the event loop's thread.
 */
public final class RunnerStandIn implements CallerHandler {
    private static final int OK = 200;
    private static final int MISDIRECTED = 421;
    private static final int UNAVAILABLE = 503;
    private static final int SERVER_ERROR = 500;

    private static final long RESPONSE_DELAY_MILLIS = 450L;
    private static final long CRASH_DELAY_MILLIS = 5L;
    private static final long SECOND_MILLIS = 1_000L;

    private final Loop loop;
    private String id;
    private final int eventsPerStream;
    private final Deque<Act> queuedActs = new ArrayDeque<>();
    private final List<CallerRequest> receivedRequests = new ArrayList<>();
    private final List<ExecutedRequest> executedRequests = new ArrayList<>();
    private OptionalInt confidence = OptionalInt.of(90);
    private OptionalDouble requestLimit = OptionalDouble.empty();
    private boolean leaving;
    private Optional<String> rest = Optional.empty();
    private final List<Runnable> heldResponses = new ArrayList<>();
    private final List<Runnable> pausedStreams = new ArrayList<>();
    private boolean holding;
    private int keepAliveSeconds = 5;
    private int callerDisconnects;
    private final Set<CallerExchange> openExchanges = new HashSet<>();
    private Predicate<CallerRequest> crashing = _request -> false;
    private Runnable crashListener = () -> {};
    private boolean crashed;
    private long coldUntilMillis;
    private double maxColdRequestsInSecond;
    private final Deque<Long> coldArrivals = new ArrayDeque<>();

    /**
     * Creates a server.
     *
     * @param eventsPerStream number of events in each stream; event ids start at 1
     */
    public RunnerStandIn(Loop loop, String id, int eventsPerStream) {
        this.loop = loop;
        this.id = id;
        this.eventsPerStream = eventsPerStream;
    }

    /** Behaviour for one request. */
    public enum Act {
        /** Responds normally. */
        ANSWER,
        /** Executes the request and responds with status 500. */
        FAIL,
        /** Rejects the request with status 503 without executing it. */
        REFUSE,
        /** Executes the request and closes the connection without a response. */
        LOSE_ANSWER,
        /** Sends half of the events and part of the next one, then closes the connection. */
        BREAK_STREAM,
        /** Sends half of the events, and the rest when streams are resumed. */
        PAUSE_STREAM,
        /** Responds after 450 ms. */
        DELAY,
        /** Executes the request and never responds. */
        SILENCE,
        /** Responds with the id of another request. */
        ANSWER_ANOTHER
    }

    /**
     * A request that was executed.
     *
     * @param workspace workspace named in the header that the router sets
     * @param apiKeyForwarded true if the request carried an {@code Authorization} header
     */
    public record ExecutedRequest(String requestId, Optional<String> workspace, boolean apiKeyForwarded) {}

    /** Queues the behaviour for the next requests, in order; requests beyond the queue get {@link Act#ANSWER}. */
    public void enqueueActs(Act... newActs) {
        queuedActs.addAll(List.of(newActs));
    }

    /** Sets the confidence reported in the headers of responses by models. */
    public void setConfidence(int newConfidence) {
        this.confidence = OptionalInt.of(newConfidence);
    }

    /** Makes the server report no confidence. */
    public void withholdConfidence() {
        this.confidence = OptionalInt.empty();
    }

    /** Sets the limit that the server names in its responses, in requests per second; empty to name none. */
    public void setRequestLimit(OptionalDouble requestsPerSecond) {
        requestLimit = requestsPerSecond;
    }

    /** Makes the server say in all its responses that it leaves, or no longer. */
    public void setLeaving(boolean nowLeaving) {
        leaving = nowLeaving;
    }

    /**
     * Makes the server reject all requests and ask for rest.
     *
     * @param retryAfter value of the Retry-After header of the rejections; empty to accept requests again
     */
    public void setRest(Optional<String> retryAfter) {
        rest = retryAfter;
    }

    /** Makes the server hold back all responses, or sends those that it held back. */
    public void setHolding(boolean nowHolding) {
        holding = nowHolding;
        List<Runnable> released = holding ? List.of() : List.copyOf(heldResponses);
        heldResponses.removeAll(released);
        released.forEach(Runnable::run);
    }

    /** Sends the rest of the streams that pause. */
    public void resumeStreams() {
        List<Runnable> resumed = List.copyOf(pausedStreams);
        pausedStreams.clear();
        resumed.forEach(Runnable::run);
    }

    /** Sets the time for which the server says that it keeps idle connections open. */
    public void setKeepAliveSeconds(int seconds) {
        keepAliveSeconds = seconds;
    }

    /** Changes the server's id, as a restart under a new id would; ends a crash. */
    public void restartAs(String newId) {
        id = newId;
        crashed = false;
    }

    /**
     * Makes the server crash while it runs certain requests: when it has begun to stream the response, or before it has sent
     * a byte of another one. A run for which another behaviour is queued ends as queued.
     *
     * @param listener called when the server crashes, to close its listening socket
     */
    public void crashOn(Predicate<CallerRequest> newCrashing, Runnable listener) {
        crashing = newCrashing;
        crashListener = listener;
    }

    /**
     * Makes the server cold for a time, as a start does. Its responses say so, and it crashes if it gets too many requests.
     *
     * @param maxRequestsInSecond number of requests in a second above which the cold server crashes
     */
    public void startCold(long millis, double maxRequestsInSecond) {
        crashed = false;
        coldUntilMillis = loop.nowMillis() + millis;
        maxColdRequestsInSecond = maxRequestsInSecond;
        coldArrivals.clear();
    }

    private long coldMillis() {
        return Math.max(0, coldUntilMillis - loop.nowMillis());
    }

    private boolean isTooMuchWhileCold() {
        long now = loop.nowMillis();
        if (coldMillis() == 0) {
            return false;
        }
        coldArrivals.removeIf(arrival -> arrival <= now - SECOND_MILLIS);
        coldArrivals.add(now);
        return coldArrivals.size() > maxColdRequestsInSecond;
    }

    /** Returns true from a crash until the next start. */
    public boolean isCrashed() {
        return crashed;
    }

    /** Breaks off all responses; from now on, no request is executed until the server is restarted. */
    public void crash() {
        crashed = true;
        List.copyOf(openExchanges).forEach(CallerExchange::abort);
        openExchanges.clear();
        crashListener.run();
    }

    /** Returns the requests addressed to this server's id, in order of arrival; the list is live. */
    public List<CallerRequest> receivedRequests() {
        return receivedRequests;
    }

    /** Returns the number of requests received whose prompts contain a part, other than as their last one. */
    public long receivedRequestsWithPart(String part) {
        return receivedRequests.stream()
                .filter(request -> isPromptPart(part, request))
                .count();
    }

    /** Returns the requests that were executed, in order; the list is live. */
    public List<ExecutedRequest> executedRequests() {
        return executedRequests;
    }

    /** Returns the number of requests whose caller disconnected before the response was complete. */
    public int callerDisconnects() {
        return callerDisconnects;
    }

    @Override
    public void onRequest(CallerRequest request, CallerExchange exchange) {
        if (crashed) {
            exchange.abort();
            return;
        }
        String expected = request.headers().get("X-Expect-Runner", id);
        if (!expected.equals(id)) {
            HttpHeaders headers = new DefaultHttpHeaders();
            headers.set(
                    PlatformFixtures.REQUEST_ID_HEADER, request.headers().get(PlatformFixtures.REQUEST_ID_HEADER, ""));
            send(exchange, MISDIRECTED, headers, "");
            return;
        }
        receivedRequests.add(request);
        openExchanges.add(exchange);
        if (isTooMuchWhileCold()) {
            crash();
            return;
        }
        exchange.setListener(new CallerExchange.Listener() {
            @Override
            public void onCallerDisconnected() {
                callerDisconnects++;
                openExchanges.remove(exchange);
            }

            @Override
            public void onWritabilityChanged() {}
        });
        Act defaultAct = rest.isPresent() ? Act.REFUSE : Act.ANSWER;
        Act act = queuedActs.isEmpty() ? defaultAct : queuedActs.poll();
        if (act != Act.REFUSE) {
            executedRequests.add(new ExecutedRequest(
                    request.headers().get(PlatformFixtures.REQUEST_ID_HEADER, ""),
                    Optional.ofNullable(request.headers().get("X-Tenant-Name")),
                    request.headers().contains("Authorization")));
        }
        if (holding) {
            heldResponses.add(() -> respond(request, exchange, act));
        } else if (act == Act.DELAY) {
            loop.schedule(RESPONSE_DELAY_MILLIS, () -> respond(request, exchange, act));
        } else {
            respond(request, exchange, act);
        }
    }

    private void respond(CallerRequest request, CallerExchange exchange, Act act) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(
                PlatformFixtures.REQUEST_ID_HEADER,
                act == Act.ANSWER_ANOTHER ? "other" : request.headers().get(PlatformFixtures.REQUEST_ID_HEADER, ""));
        headers.set("X-Runner-Id", id);
        headers.set("Keep-Alive", "timeout=" + keepAliveSeconds);
        if (leaving) {
            headers.set("Server-Leaving", "1");
        }
        if (coldMillis() > 0) {
            headers.set("X-Cold-Ms", String.valueOf(coldMillis()));
        }
        requestLimit.ifPresent(limit -> headers.set("Server-Limit", String.valueOf(limit)));
        switch (act) {
            case REFUSE -> {
                headers.set("X-Not-Executed", "1");
                rest.ifPresent(retryAfter -> headers.set("Retry-After", retryAfter));
                send(exchange, UNAVAILABLE, headers, "");
            }
            case LOSE_ANSWER -> exchange.abort();
            case SILENCE -> {}
            case FAIL -> {
                headers.set(PlatformFixtures.SEAL_HEADER, id + ".seal");
                send(exchange, SERVER_ERROR, headers, "failed");
            }
            default -> {
                headers.set(PlatformFixtures.SEAL_HEADER, id + ".seal");
                if (request.headers().contains("X-Model-Name")) {
                    confidence.ifPresent(stated -> headers.set("X-Hint-Confidence", stated));
                }
                if (request.headers().contains("X-Token-Count")) {
                    stream(request, exchange, headers, act);
                } else if (crashing.test(request)) {
                    loop.schedule(CRASH_DELAY_MILLIS, this::crash);
                } else {
                    send(exchange, OK, headers, "answer of " + id);
                }
            }
        }
    }

    private void stream(CallerRequest request, CallerExchange exchange, HttpHeaders headers, Act act) {
        headers.set("Content-Type", "text/event-stream");
        exchange.startStream(OK, headers);
        if (crashing.test(request)) {
            exchange.sendChunk(Unpooled.copiedBuffer("id: 1\ndata: token 1\n\nid: 2\nda", StandardCharsets.UTF_8));
            loop.schedule(CRASH_DELAY_MILLIS, this::crash);
            return;
        }
        int first = Integer.parseInt(request.headers().get("Last-Event-Id", "0")) + 1;
        boolean whole = act != Act.BREAK_STREAM && act != Act.PAUSE_STREAM;
        int last = whole ? eventsPerStream : eventsPerStream / 2;
        sendEvents(exchange, first, last);
        if (act == Act.PAUSE_STREAM) {
            pausedStreams.add(() -> {
                sendEvents(exchange, last + 1, eventsPerStream);
                exchange.endStream();
                openExchanges.remove(exchange);
            });
        } else if (act == Act.BREAK_STREAM) {
            exchange.sendChunk(Unpooled.copiedBuffer("id: " + (last + 1) + "\nda", StandardCharsets.UTF_8));
            loop.schedule(20, exchange::abort);
        } else {
            exchange.endStream();
            openExchanges.remove(exchange);
        }
    }

    private static void sendEvents(CallerExchange exchange, int first, int last) {
        for (int event = first; event <= last; event++) {
            String text = "id: " + event + "\ndata: token " + event + "\n\n";
            exchange.sendChunk(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        }
    }

    /** Returns true if the prompt of a request contains a part, other than as its last one. */
    public static boolean isPromptPart(String id, CallerRequest request) {
        String[] parts = request.headers().get("X-Prompt-Prefix", "").split(",", -1);
        return Arrays.stream(parts).limit(parts.length - 1L).anyMatch(part -> part.startsWith(id + ':'));
    }

    private void send(CallerExchange exchange, int status, HttpHeaders headers, String text) {
        exchange.sendResponse(status, headers, Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        openExchanges.remove(exchange);
    }
}
