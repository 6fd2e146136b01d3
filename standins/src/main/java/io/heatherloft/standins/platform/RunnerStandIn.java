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
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * A small stand-in of a backend server on the users' platform.
 *
 * <p>Answers streams with numbered events and other requests with a short body. What it does to the next requests can be
 * set beforehand. Confined to the loop's thread.
 */
public final class RunnerStandIn implements CallerHandler {
    private static final int OK = 200;
    private static final int MISDIRECTED = 421;
    private static final int UNAVAILABLE = 503;
    private static final int SERVER_ERROR = 500;

    private static final long RESPONSE_DELAY_MILLIS = 450L;

    private final Loop loop;
    private String id;
    private final int eventsPerStream;
    private final Deque<Act> nextBehaviors = new ArrayDeque<>();
    private final List<CallerRequest> receivedRequests = new ArrayList<>();
    private final List<ExecutedRequest> executedRequests = new ArrayList<>();
    private int confidence = 90;
    private int callerDisconnects;

    /**
     * Creates a server.
     *
     * @param events events of each stream, numbered from 1
     */
    public RunnerStandIn(Loop loop, String id, int events) {
        this.loop = loop;
        this.id = id;
        this.eventsPerStream = events;
    }

    /** What a server does to one request. */
    public enum Act {
        /** Answers it. */
        ANSWER,
        /** Fails it with status 500, after it ran. */
        FAIL,
        /** Refuses it without running it. */
        REFUSE,
        /** Runs it and closes the connection without an answer. */
        LOSE_ANSWER,
        /** Sends half of the events and closes the connection. */
        BREAK_STREAM,
        /** Answers it after half a second. */
        DELAY,
        /** Sends nothing. */
        SILENCE,
        /** Answers with the identity of another request. */
        ANSWER_ANOTHER
    }

    /**
     * A request that was not refused.
     *
     * @param workspace workspace that the router named
     * @param apiKeyForwarded true if the caller's key came with it
     */
    public record ExecutedRequest(String requestId, Optional<String> workspace, boolean apiKeyForwarded) {}

    /** Sets what happens to the next requests, in order; later ones are answered. */
    public void enqueueActs(Act... newActs) {
        nextBehaviors.addAll(List.of(newActs));
    }

    /** Sets the confidence that models state. */
    public void setConfidence(int newConfidence) {
        this.confidence = newConfidence;
    }

    /** Sets the identity that the server has from now on. */
    public void restartAs(String newId) {
        id = newId;
    }

    /** Returns the requests received, in order. */
    public List<CallerRequest> receivedRequests() {
        return receivedRequests;
    }

    /** Returns the requests that were not refused, in order. */
    public List<ExecutedRequest> executedRequests() {
        return executedRequests;
    }

    /** Returns the number of requests whose connection was closed before the answer. */
    public int callerDisconnects() {
        return callerDisconnects;
    }

    @Override
    public void onRequest(CallerRequest request, CallerExchange exchange) {
        String expected = request.headers().get("X-Expect-Runner", id);
        if (!expected.equals(id)) {
            send(exchange, MISDIRECTED, new DefaultHttpHeaders(), "");
            return;
        }
        receivedRequests.add(request);
        exchange.setListener(new CallerExchange.Listener() {
            @Override
            public void onCallerDisconnected() {
                callerDisconnects++;
            }

            @Override
            public void onWritabilityChanged() {}
        });
        Act act = nextBehaviors.isEmpty() ? Act.ANSWER : nextBehaviors.poll();
        if (act != Act.REFUSE) {
            executedRequests.add(new ExecutedRequest(
                    request.headers().get(PlatformFixtures.REQUEST_ID_HEADER, ""),
                    Optional.ofNullable(request.headers().get("X-Tenant-Name")),
                    request.headers().contains("Authorization")));
        }
        if (act == Act.DELAY) {
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
        headers.set("Keep-Alive", "timeout=5");
        switch (act) {
            case REFUSE -> {
                headers.set("X-Not-Executed", "1");
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
                if (request.headers().contains("X-Token-Count")) {
                    headers.set("X-Hint-Confidence", confidence);
                    stream(request, exchange, headers, act == Act.BREAK_STREAM);
                } else {
                    send(exchange, OK, headers, "answer of " + id);
                }
            }
        }
    }

    private void stream(CallerRequest request, CallerExchange exchange, HttpHeaders headers, boolean breaks) {
        headers.set("Content-Type", "text/event-stream");
        exchange.startStream(OK, headers);
        int first = Integer.parseInt(request.headers().get("Last-Event-Id", "0")) + 1;
        int last = breaks ? eventsPerStream / 2 : eventsPerStream;
        for (int event = first; event <= last; event++) {
            String text = "id: " + event + "\ndata: token " + event + "\n\n";
            exchange.sendChunk(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        }
        if (breaks) {
            exchange.sendChunk(Unpooled.copiedBuffer("id: " + (last + 1) + "\nda", StandardCharsets.UTF_8));
            loop.schedule(20, exchange::abort);
        } else {
            exchange.endStream();
        }
    }

    private static void send(CallerExchange exchange, int status, HttpHeaders headers, String text) {
        exchange.sendResponse(status, headers, Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }
}
