package io.heatherloft.ports.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.heatherloft.ports.http.JsonHttpClient;
import io.heatherloft.ports.http.LineSplitter;

/**
 * A watch on the JSON gateway: one JSON document a line, for as long as the answer lasts.
 *
 * <p>Invariant: the listener's {@code onEnd} is called at most once, and nothing after it or after {@link #close}.
 * Confined to the loop's thread.
 */
final class EtcdWatch implements KeyValueStore.Watch {
    private final KeyValueStore.WatchListener listener;
    private final LineSplitter lineSplitter = new LineSplitter();
    private ChannelSupplier<ByteBuf> bodyStream;
    private boolean ended;

    EtcdWatch(KeyValueStore.WatchListener listener) {
        this.listener = listener;
    }

    void start(Promise<HttpResponse> answer) {
        answer.whenComplete((response, failure) -> {
            if (failure != null) {
                end(String.valueOf(failure.getMessage()));
            } else if (ended) {
                response.takeBodyStream().close();
            } else {
                bodyStream = response.takeBodyStream();
                readNext();
            }
        });
    }

    @Override
    public void close() {
        ended = true;
        if (bodyStream != null) {
            bodyStream.close();
        }
    }

    private void readNext() {
        bodyStream.get().whenComplete((chunk, failure) -> {
            if (failure != null || chunk == null) {
                end(failure == null ? "closed by the service" : String.valueOf(failure.getMessage()));
                return;
            }
            lineSplitter.add(chunk.asArray()).forEach(this::handleLine);
            if (!ended) {
                readNext();
            }
        });
    }

    private void handleLine(String line) {
        if (ended || line.isBlank()) {
            return;
        }
        try {
            JsonNode result = JsonHttpClient.MAPPER.readTree(line).path("result");
            if (result.path("canceled").asBoolean()) {
                end("cancelled by the service");
                return;
            }
            result.path("events").forEach(event -> {
                if (!event.path("type").asText("PUT").equals("DELETE")) {
                    listener.onPut(EtcdGatewayStore.parseValue(event.path("kv")));
                }
            });
        } catch (JsonProcessingException exception) {
            end("malformed event: " + exception.getOriginalMessage());
        }
    }

    private void end(String reason) {
        if (!ended) {
            ended = true;
            listener.onEnd(reason);
        }
    }
}
