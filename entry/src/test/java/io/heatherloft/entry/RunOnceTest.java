package io.heatherloft.entry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.heatherloft.standins.platform.PlatformFixtures;
import io.heatherloft.standins.platform.RunnerStandIn;
import io.heatherloft.standins.platform.RunnerStandIn.Act;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Requests on routes of each repeat policy, with and without models of several sizes. */
final class RunOnceTest {
    private static final String TWO_SIZES = "\"sizes\":[\"small\",\"large\"],";
    private static final String THREE_SIZES = "\"sizes\":[\"small\",\"medium\",\"large\"],";
    private static final long DEADLINE_MILLIS = 1_500L;

    private final EntryHostHarness harness = new EntryHostHarness();
    private List<RunnerStandIn> servers = List.of();
    private EntryHost host;

    @AfterEach
    void close() {
        harness.close();
    }

    /** What makes a host want to send a request again. */
    private enum Trouble {
        LOW_CONFIDENCE,
        NO_CONFIDENCE,
        LOST_ANSWER,
        SERVER_ERROR,
        BROKEN_STREAM,
        SILENCE,
        FOREIGN_ANSWER,
        REJECTION_THEN_LOST_ANSWER,
        REJECTION_THEN_LOW_CONFIDENCE;

        private void applyTo(RunnerStandIn server) {
            switch (this) {
                case LOW_CONFIDENCE -> server.setConfidence(10);
                case NO_CONFIDENCE -> server.withholdConfidence();
                case LOST_ANSWER -> server.enqueueActs(Act.LOSE_ANSWER);
                case SERVER_ERROR -> server.enqueueActs(Act.FAIL);
                case BROKEN_STREAM -> server.enqueueActs(Act.BREAK_STREAM);
                case SILENCE -> server.enqueueActs(Act.SILENCE);
                case FOREIGN_ANSWER -> server.enqueueActs(Act.ANSWER_ANOTHER);
                case REJECTION_THEN_LOST_ANSWER -> server.enqueueActs(Act.REFUSE, Act.LOSE_ANSWER);
                case REJECTION_THEN_LOW_CONFIDENCE -> {
                    server.setConfidence(10);
                    server.enqueueActs(Act.REFUSE);
                }
            }
        }
    }

    private void startFleet(String sizes, boolean resumable) {
        String configuration = PlatformFixtures.configuration(2, EntryHostHarness.API_KEY)
                .replace(TWO_SIZES, sizes)
                .replace("\"stream_resume\":true", "\"stream_resume\":" + resumable)
                .replace("idempotent\",", "idempotent\"," + sizes)
                .replace("\"service\":\"desk\"", "\"service\":\"llm\"")
                .replaceAll("\"max_attempts\":\\d", "\"max_attempts\":6");
        harness.onLoop(() -> harness.store.put("op/config", configuration));
        servers = List.of(
                harness.startBackend("llm", "i-1", "v1"),
                harness.startBackend("llm", "i-2", "v1"),
                harness.startBackend("llm", "i-3", "v1"));
        host = harness.startReadyHost("entry-1", EntryHostHarness.freePort(), List.of());
        harness.awaitBackendCount(host, servers.size());
    }

    private void onServers(Consumer<RunnerStandIn> task) {
        harness.onLoop(() -> servers.forEach(task));
    }

    private String send(String path, String... moreHeaders) {
        Map<String, String> headers = path.startsWith("/plans/")
                ? PlatformFixtures.streamHeaders("r1", EntryHostHarness.API_KEY, DEADLINE_MILLIS, "s1")
                : PlatformFixtures.plainHeaders("r1", EntryHostHarness.API_KEY, DEADLINE_MILLIS);
        headers.put("X-Model-Name", "*");
        StringBuilder request = new StringBuilder("POST " + path + "x HTTP/1.1\r\nConnection: close\r\n");
        headers.forEach(
                (name, value) -> request.append(name).append(": ").append(value).append("\r\n"));
        List.of(moreHeaders).forEach(header -> request.append(header).append("\r\n"));
        return EntryHostHarness.exchange(
                host.callerPort(), request.append("Content-Length: 0\r\n\r\n").toString());
    }

    private long runs() {
        return harness.onLoop(() -> servers.stream()
                .mapToLong(server -> server.executedRequests().size())
                .sum());
    }

    private List<String> modelsSent() {
        return harness.onLoop(() -> servers.stream()
                .flatMap(server -> server.receivedRequests().stream())
                .map(request -> request.headers().get("X-Model-Name"))
                .sorted()
                .toList());
    }

    /** Guards against review case 13 (TWICE): a low confidence let a request run again that may run only once. */
    @Nested
    final class ARequestThatMayRunOnce {
        private void runsAtMostOnce(Trouble trouble, String sizes, String path) {
            startFleet(sizes, false);
            onServers(trouble::applyTo);
            String response = send(path);
            assertWithMessage(response).that(runs()).isAtMost(1);
        }

        @ParameterizedTest
        @EnumSource(Trouble.class)
        void runs_at_most_once_on_a_stream_route(Trouble trouble) {
            runsAtMostOnce(trouble, "", "/plans/");
        }

        @ParameterizedTest
        @EnumSource(Trouble.class)
        void runs_at_most_once_on_a_stream_route_with_sizes(Trouble trouble) {
            runsAtMostOnce(trouble, THREE_SIZES, "/plans/");
        }

        @ParameterizedTest
        @EnumSource(Trouble.class)
        void runs_at_most_once_on_a_plain_route(Trouble trouble) {
            runsAtMostOnce(trouble, "", "/bookings/");
        }

        @ParameterizedTest
        @EnumSource(Trouble.class)
        void runs_at_most_once_on_a_plain_route_with_sizes(Trouble trouble) {
            runsAtMostOnce(trouble, TWO_SIZES, "/bookings/");
        }

        // Its answer can't be replaced by that of a larger model.
        @ParameterizedTest
        @CsvSource({"/plans/, ", "/plans/, Last-Event-Id: 2", "/bookings/, "})
        void runs_on_the_largest_model(String path, String header) {
            startFleet(THREE_SIZES, false);
            onServers(Trouble.LOW_CONFIDENCE::applyTo);
            assertThat(header == null ? send(path) : send(path, header)).startsWith("HTTP/1.1 200");
            assertThat(modelsSent()).containsExactly("large");
        }
    }

    @Nested
    final class ARequestThatMayRunAgain {
        @ParameterizedTest
        @CsvSource({"/plans/", "/lookups/"})
        void runs_on_the_largest_model_after_a_low_confidence(String path) {
            startFleet(THREE_SIZES, true);
            onServers(Trouble.LOW_CONFIDENCE::applyTo);
            assertThat(send(path)).startsWith("HTTP/1.1 200");
            assertThat(modelsSent()).containsExactly("large", "small");
        }

        @ParameterizedTest
        @CsvSource({"/plans/", "/lookups/"})
        void runs_on_the_largest_model_after_an_answer_without_a_confidence(String path) {
            startFleet(TWO_SIZES, true);
            onServers(Trouble.NO_CONFIDENCE::applyTo);
            assertThat(send(path)).startsWith("HTTP/1.1 200");
            assertThat(modelsSent()).containsExactly("large", "small");
        }

        @ParameterizedTest
        @CsvSource({"/plans/", "/lookups/"})
        void keeps_a_confident_answer_of_the_smallest_model(String path) {
            startFleet(THREE_SIZES, true);
            assertThat(send(path)).startsWith("HTTP/1.1 200");
            assertThat(modelsSent()).containsExactly("small");
        }

        // The caller has the first events of some model; the same confidence leads to the same model.
        @Test
        void is_resumed_by_the_caller_on_the_model_that_its_confidence_leads_to() {
            startFleet(TWO_SIZES, true);
            onServers(Trouble.LOW_CONFIDENCE::applyTo);
            assertThat(send("/plans/", "Last-Event-Id: 2")).contains("id: 3\n");
            assertThat(modelsSent()).containsExactly("large", "small");
        }
    }
}
