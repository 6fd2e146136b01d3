package io.heatherloft.demo;

import com.fasterxml.jackson.databind.JsonNode;
import io.heatherloft.cli.ExitCode;
import io.heatherloft.daemon.request.RequestIds;
import io.heatherloft.ports.http.JsonHttpClient;
import java.io.IOException;
import java.io.PrintStream;
import java.net.http.HttpResponse;
import java.util.Random;

/**
 * Sends the requests of the demo and checks each outcome.
 *
 * <p>Invariant: a failed check is printed, and {@link #run} then returns false. Confined to one thread.
 */
final class DemoScenario {
    private static final String CHAT_COMPLETIONS_PATH = "/v1/chat/completions";
    private static final long READY_TIMEOUT_MILLIS = 20_000L;
    private static final long READY_POLL_INTERVAL_MILLIS = 100L;
    private static final int STATUS_OK = 200;
    private static final int STATUS_CREATED = 201;
    private static final int STATUS_UNAUTHORIZED = 401;

    private final DemoFleet fleet;
    private final PrintStream out;
    private final DemoHttpClient client = new DemoHttpClient("badvakt-malmo-key");
    private boolean allAsExpected = true;

    DemoScenario(DemoFleet fleet, PrintStream out) {
        this.fleet = fleet;
        this.out = out;
    }

    boolean run() throws IOException, InterruptedException {
        awaitReady();
        plainCompletion();
        streamedCompletion();
        escalatingCascade();
        statusLookup();
        repeatedBooking();
        invalidApiKey();
        expect("bills can be shown", fleet.runCommand("show", "bills") == ExitCode.OK);
        expect("the audit trail can be shown", fleet.runCommand("audit") == ExitCode.OK);
        return allAsExpected;
    }

    private void awaitReady() throws IOException, InterruptedException {
        for (int host = 0; host < fleet.hostCount(); host++) {
            long waited = 0;
            while (client.get(fleet.operationsAddress(host), "/ready").statusCode() != STATUS_OK
                    && waited < READY_TIMEOUT_MILLIS) {
                Thread.sleep(READY_POLL_INTERVAL_MILLIS);
                waited += READY_POLL_INTERVAL_MILLIS;
            }
            expect(
                    "host " + (host + 1) + " is ready",
                    client.get(fleet.operationsAddress(host), "/ready").statusCode() == STATUS_OK);
        }
    }

    private void plainCompletion() throws IOException, InterruptedException {
        HttpResponse<String> response = chat(0, "rota-brief", "Is chair 4 covered at noon?", false);
        JsonNode document = JsonHttpClient.MAPPER.readTree(response.body());
        expect(
                "plain completion: "
                        + document.path("choices")
                                .path(0)
                                .path("message")
                                .path("content")
                                .asText(),
                response.statusCode() == STATUS_OK
                        && document.path("usage").path("completion_tokens").asInt() > 0);
        printExplanation(response);
    }

    private void streamedCompletion() throws IOException, InterruptedException {
        HttpResponse<String> response = chat(1, "rota-planner", "Season plan for the north beach.", true);
        long events = response.body()
                .lines()
                .filter(line -> line.startsWith("data: {"))
                .count();
        expect(
                "streamed completion of " + events + " events",
                response.statusCode() == STATUS_OK && response.body().strip().endsWith("data: [DONE]"));
        printExplanation(response);
    }

    private void escalatingCascade() throws IOException, InterruptedException {
        HttpResponse<String> response = chat(0, "shift-summary", "Summarise the shifts of week 30.", false);
        String version = response.headers().firstValue("Heatherloft-Version").orElse("");
        expect("cascade escalates to " + version, version.startsWith("rota-planner@"));
        printExplanation(response);
    }

    private void statusLookup() throws IOException, InterruptedException {
        HttpResponse<String> response = client.get(fleet.callerAddress(1), "/services/tower-booking/swaps/17");
        expect("status lookup: " + response.body(), response.statusCode() == STATUS_OK);
        printExplanation(response);
    }

    private void repeatedBooking() throws IOException, InterruptedException {
        String id = RequestIds.generate(System.currentTimeMillis(), new Random());
        HttpResponse<String> first = book(0, id);
        HttpResponse<String> second = book(1, id);
        expect("booking: " + first.body(), first.statusCode() == STATUS_CREATED);
        printExplanation(first);
        boolean replayed = second.headers().firstValue("Heatherloft-Replayed").isPresent();
        expect("retry on the other host is answered from the ledger: " + second.body(), replayed);
        expect(
                "the booking ran " + fleet.bookingCount() + " time",
                fleet.bookingCount() == 1 && second.body().equals(first.body()));
        printExplanation(second);
    }

    private void invalidApiKey() throws IOException, InterruptedException {
        HttpResponse<String> response =
                new DemoHttpClient("wrong").post(fleet.callerAddress(0), CHAT_COMPLETIONS_PATH, "{}");
        expect("wrong key: " + response.body(), response.statusCode() == STATUS_UNAUTHORIZED);
    }

    private HttpResponse<String> book(int host, String id) throws IOException, InterruptedException {
        return client.post(
                fleet.callerAddress(host),
                "/services/tower-booking/swaps",
                "{\"chair\":4,\"from\":\"Ines\",\"to\":\"Olle\"}",
                "Idempotency-Key",
                id);
    }

    private HttpResponse<String> chat(int host, String model, String question, boolean stream)
            throws IOException, InterruptedException {
        String body = JsonHttpClient.MAPPER
                .createObjectNode()
                .put("model", model)
                .put("stream", stream)
                .set(
                        "messages",
                        JsonHttpClient.MAPPER
                                .createArrayNode()
                                .add(JsonHttpClient.MAPPER
                                        .createObjectNode()
                                        .put("role", "user")
                                        .put("content", question)))
                .toString();
        return client.post(
                fleet.callerAddress(host), CHAT_COMPLETIONS_PATH, body, "Heatherloft-Session", "demo-session");
    }

    private void printExplanation(HttpResponse<String> response) {
        String requestId = response.headers().firstValue("Heatherloft-Request").orElse("");
        expect("route", fleet.runCommand("explain", requestId) == ExitCode.OK);
    }

    private void expect(String description, boolean passed) {
        allAsExpected &= passed;
        out.println((passed ? "ok    " : "WRONG ") + description);
    }
}
