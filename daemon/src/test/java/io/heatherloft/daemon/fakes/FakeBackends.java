package io.heatherloft.daemon.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.routing.BackendServer;
import io.heatherloft.ports.backend.BackendClient;
import io.heatherloft.ports.backend.BackendFailure;
import io.heatherloft.ports.backend.BackendListener;
import io.heatherloft.ports.backend.BackendRequest;
import io.heatherloft.ports.backend.BackendResponseHead;
import io.heatherloft.ports.http.JsonHttpClient;
import io.heatherloft.ports.loop.Futures;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.standins.EngineStandIn;
import io.heatherloft.standins.GeneratedText;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

/** Engines and plain services with faults; what they were given is on record. */
public final class FakeBackends {
    private static final long TOKEN_MILLIS = 20L;
    private static final long SERVICE_MILLIS = 30L;
    private static final int STATUS_OK = 200;
    private static final int STATUS_CREATED = 201;
    private static final int STATUS_UNAVAILABLE = 503;

    private final Random random;
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final List<Dispatch> dispatches = new ArrayList<>();
    private final List<String> bookings = new ArrayList<>();
    private final List<Consumer<Dispatch>> dispatchObservers = new ArrayList<>();
    private double breakage;

    public FakeBackends(Random random) {
        this.random = random;
    }

    public void add(String address, String pool, String zone) {
        servers.put(address, new Server(address, pool, zone));
    }

    /** What the host list shows, without its lag. */
    public List<BackendServer> listing() {
        return servers.values().stream()
                .filter(server -> !server.crashed)
                .map(server -> new BackendServer(server.address, server.pool, server.zone, server.leavingSince > 0))
                .toList();
    }

    public Set<String> addresses() {
        return servers.keySet();
    }

    public void setBreakage(double probability) {
        breakage = probability;
    }

    public void leave(String address, long nowMillis) {
        servers.get(address).leavingSince = nowMillis;
    }

    public long leavingSince(String address) {
        return servers.get(address).leavingSince;
    }

    public void crash(String address) {
        Server server = servers.get(address);
        if (server.crashed) {
            return;
        }
        server.crashed = true;
        server.crashes++;
        List.copyOf(server.running).forEach(exchange -> exchange.breakOff("crashed"));
    }

    public void restart(String address) {
        servers.get(address).crashed = false;
        servers.get(address).leavingSince = 0;
    }

    public int crashes() {
        return servers.values().stream().mapToInt(server -> server.crashes).sum();
    }

    public void onDispatch(Consumer<Dispatch> observer) {
        dispatchObservers.add(observer);
    }

    private static Dispatch dispatchOf(String host, Loop loop, BackendRequest request) {
        if (!request.path().equals("/v1/chat/completions")) {
            return new Dispatch(
                    loop.nowMillis(),
                    host,
                    request.address(),
                    "service",
                    request.body().toText());
        }
        JsonNode body = parse(request.body());
        return new Dispatch(
                loop.nowMillis(), host, request.address(), body.path("model").asText(), GeneratedText.prompt(body));
    }

    public List<Dispatch> dispatches() {
        return dispatches;
    }

    public List<String> bookings() {
        return bookings;
    }

    public BackendClient viewFor(String host, Loop loop) {
        return (request, listener) -> send(host, loop, request, listener);
    }

    private BackendClient.Exchange send(String host, Loop loop, BackendRequest request, BackendListener listener) {
        Server server = servers.get(request.address());
        Running exchange = new Running(loop, server, listener);
        Dispatch dispatch = dispatchOf(host, loop, request);
        dispatchObservers.forEach(observer -> observer.accept(dispatch));
        if (server.crashed) {
            loop.schedule(1, () -> exchange.fail(BackendFailure.Kind.NOT_SENT, "connection refused"));
            return exchange;
        }
        loop.schedule(1, () -> {
            if (server.crashed) {
                exchange.fail(BackendFailure.Kind.NOT_SENT, "connection refused");
            } else if (server.leavingSince > 0) {
                exchange.answer(
                        new BackendResponseHead(STATUS_UNAVAILABLE, "text/plain", true, OptionalDouble.empty()), "");
            } else if (request.path().equals("/v1/chat/completions")) {
                generate(dispatch, request, exchange);
            } else {
                serve(dispatch, request, exchange);
            }
        });
        return exchange;
    }

    private void generate(Dispatch dispatch, BackendRequest request, Running exchange) {
        JsonNode body = parse(request.body());
        String prompt = GeneratedText.prompt(body);
        String version = body.path("model").asText();
        dispatches.add(dispatch);
        exchange.server.running.add(exchange);
        if (prompt.contains(EngineStandIn.CRASH_PROMPT)) {
            exchange.loop.schedule(TOKEN_MILLIS, () -> {
                if (!exchange.ended) {
                    crash(request.address());
                }
            });
            return;
        }
        List<String> tokens = GeneratedText.tokens(version, prompt, 0.9);
        int already = GeneratedText.continuedTokenCount(body, tokens);
        int breakAt = random.nextDouble() < breakage ? already + random.nextInt(tokens.size()) : Integer.MAX_VALUE;
        boolean stream = body.path("stream").asBoolean();
        String contentType = stream ? "text/event-stream" : "application/json";
        exchange.listener.onHead(new BackendResponseHead(STATUS_OK, contentType, false, OptionalDouble.of(0)));
        step(exchange, tokens, already, already, breakAt, stream);
    }

    private void step(Running exchange, List<String> tokens, int already, int next, int breakAt, boolean stream) {
        exchange.loop.schedule(TOKEN_MILLIS, () -> {
            if (exchange.ended) {
                return;
            }
            if (next == breakAt) {
                exchange.breakOff("broken");
            } else if (next < tokens.size()) {
                if (stream) {
                    exchange.chunk("data: " + delta(tokens.get(next)) + "\n\n");
                }
                step(exchange, tokens, already, next + 1, breakAt, stream);
            } else {
                finish(exchange, tokens, already, stream);
            }
        });
    }

    private static void finish(Running exchange, List<String> tokens, int already, boolean stream) {
        ObjectNode document = JsonHttpClient.MAPPER.createObjectNode();
        document.putObject("usage")
                .put("prompt_tokens", 10 + already)
                .put("completion_tokens", tokens.size() - already);
        if (stream) {
            document.putArray("choices");
            exchange.chunk("data: " + document + "\n\ndata: [DONE]\n\n");
        } else {
            document.putArray("choices")
                    .addObject()
                    .putObject("message")
                    .put("content", String.join("", tokens.subList(already, tokens.size())));
            exchange.chunk(document.toString());
        }
        exchange.end();
    }

    private void serve(Dispatch dispatch, BackendRequest request, Running exchange) {
        String text = request.body().toText();
        dispatches.add(dispatch);
        exchange.server.running.add(exchange);
        boolean breaks = random.nextDouble() < breakage;
        if (breaks && random.nextBoolean()) {
            exchange.breakOff("broken before it ran");
            return;
        }
        if (request.method().equals("POST")) {
            bookings.add(text);
        }
        exchange.loop.schedule(SERVICE_MILLIS, () -> {
            if (breaks) {
                exchange.breakOff("broken after it ran");
            } else {
                exchange.answer(
                        new BackendResponseHead(STATUS_CREATED, "application/json", false, OptionalDouble.empty()),
                        "{\"done\":\"" + text + "\"}");
            }
        });
    }

    private static ObjectNode delta(String token) {
        ObjectNode document = JsonHttpClient.MAPPER.createObjectNode();
        document.put("id", "x");
        document.putArray("choices").addObject().putObject("delta").put("content", token);
        return document;
    }

    private static JsonNode parse(Bytes body) {
        try {
            return JsonHttpClient.MAPPER.readTree(body.toArray());
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /** Work that a backend server was given. */
    public record Dispatch(long atMillis, String host, String address, String version, String text) {}

    private static final class Server {
        private final String address;
        private final String pool;
        private final String zone;
        private final List<Running> running = new ArrayList<>();
        private boolean crashed;
        private long leavingSince;
        private int crashes;

        Server(String address, String pool, String zone) {
            this.address = address;
            this.pool = pool;
            this.zone = zone;
        }
    }

    private static final class Running implements BackendClient.Exchange {
        private final Loop loop;
        private final Server server;
        private final BackendListener listener;
        private boolean ended;

        Running(Loop loop, Server server, BackendListener listener) {
            this.loop = loop;
            this.server = server;
            this.listener = listener;
        }

        void chunk(String text) {
            Futures.onResult(listener.onChunk(Bytes.ofText(text)), _written -> {});
        }

        void answer(BackendResponseHead head, String body) {
            if (!ended) {
                listener.onHead(head);
                chunk(body);
                end();
            }
        }

        void end() {
            if (!ended) {
                stop();
                listener.onEnd();
            }
        }

        void breakOff(String reason) {
            loop.execute(() -> fail(BackendFailure.Kind.BROKEN, reason));
        }

        void fail(BackendFailure.Kind kind, String reason) {
            if (!ended) {
                stop();
                listener.onFailure(new BackendFailure(kind, reason));
            }
        }

        @Override
        public void cancel() {
            stop();
        }

        private void stop() {
            ended = true;
            server.running.remove(this);
        }
    }
}
