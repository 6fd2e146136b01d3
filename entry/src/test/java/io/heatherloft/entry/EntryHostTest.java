package io.heatherloft.entry;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.domain.StableHash;
import io.heatherloft.ports.http.SocketAddresses;
import io.heatherloft.router.http.CallerRequest;
import io.heatherloft.standins.platform.PlatformFixtures;
import io.heatherloft.standins.platform.RunnerStandIn;
import io.heatherloft.standins.platform.RunnerStandIn.Act;
import io.heatherloft.standins.platform.StoreStandIn;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ForkJoinPool;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class EntryHostTest {
    private final PlatformRig rig = new PlatformRig();

    @AfterEach
    void close() {
        rig.close();
    }

    private EntryHost loneHost() {
        return rig.host("entry-1", PlatformRig.freePort(), List.of());
    }

    private static List<Integer> eventIds(String answer) {
        Matcher matcher = Pattern.compile("id: (\\d+)\n").matcher(answer);
        return matcher.results()
                .map(result -> Integer.parseInt(result.group(1)))
                .toList();
    }

    private static List<Integer> allEvents() {
        return IntStream.rangeClosed(1, 8).boxed().toList();
    }

    private List<CallerRequest> received(RunnerStandIn backend) {
        return rig.onLoop(() -> List.copyOf(backend.receivedRequests()));
    }

    private int receivedInAll(RunnerStandIn... backends) {
        return List.of(backends).stream()
                .mapToInt(backend -> received(backend).size())
                .sum();
    }

    @Nested
    final class AStream {
        @Test
        void is_passed_on_whole_with_the_servers_seal() {
            rig.backend("llm", "i-1", "v1");
            String answer = rig.stream(loneHost(), "r1");
            assertThat(answer).startsWith("HTTP/1.1 200");
            assertThat(answer).contains("X-Runner-Seal: i-1.seal");
            assertThat(eventIds(answer)).isEqualTo(allEvents());
            assertThat(answer).endsWith("0\r\n\r\n");
        }

        @Test
        void reaches_the_server_with_the_workspace_and_without_the_key() {
            RunnerStandIn backend = rig.backend("llm", "i-1", "v1");
            rig.stream(loneHost(), "r1");
            CallerRequest request = received(backend).get(0);
            assertThat(request.headers().get("X-Tenant-Name")).isEqualTo("malmo");
            assertThat(request.headers().get("X-Expect-Runner")).isEqualTo("i-1");
            assertThat(request.headers().contains("Authorization")).isFalse();
            assertThat(request.headers().get("X-Model-Name")).isEqualTo("small");
            assertThat(request.body().toText()).isEqualTo("hello");
        }

        @Test
        void runs_on_the_large_model_when_the_small_one_is_not_confident() {
            RunnerStandIn backend = rig.backend("llm", "i-1", "v1");
            rig.onLoop(() -> backend.setConfidence(20));
            String answer = rig.stream(loneHost(), "r1");
            assertThat(eventIds(answer)).isEqualTo(allEvents());
            assertThat(received(backend).stream()
                            .map(request -> request.headers().get("X-Model-Name"))
                            .toList())
                    .containsExactly("small", "large")
                    .inOrder();
        }

        @Test
        void is_not_called_unrun_when_the_small_model_ran_and_the_large_one_was_refused() {
            RunnerStandIn backend = rig.backend("llm", "i-1", "v1");
            rig.onLoop(() -> {
                backend.setConfidence(20);
                backend.enqueueActs(Act.ANSWER, Act.REFUSE, Act.REFUSE);
            });
            assertThat(rig.stream(loneHost(), "r1")).startsWith("HTTP/1.1 502");
        }

        @Test
        void goes_on_at_another_server_after_its_last_whole_event() {
            RunnerStandIn first = rig.backend("llm", "i-1", "v1");
            RunnerStandIn second = rig.backend("llm", "i-2", "v1");
            rig.onLoop(() -> {
                first.enqueueActs(Act.BREAK_STREAM);
                second.enqueueActs(Act.BREAK_STREAM);
            });
            String answer = rig.stream(loneHost(), "r1");
            assertThat(eventIds(answer)).isEqualTo(allEvents());
            assertThat(answer).endsWith("0\r\n\r\n");
        }

        @Test
        void goes_on_at_another_server_when_the_first_is_silent() {
            RunnerStandIn first = rig.backend("llm", "i-1", "v1");
            RunnerStandIn second = rig.backend("llm", "i-2", "v1");
            rig.onLoop(() -> {
                first.enqueueActs(Act.SILENCE);
                second.enqueueActs(Act.SILENCE);
            });
            EntryHost host = loneHost();
            assertThat(eventIds(rig.stream(host, "r1"))).isEqualTo(allEvents());
            assertThat(receivedInAll(first, second)).isEqualTo(3);
        }

        @Test
        void is_ended_at_the_server_when_its_caller_leaves() throws IOException {
            RunnerStandIn backend = rig.backend("llm", "i-1", "v1");
            rig.onLoop(() -> backend.enqueueActs(Act.SILENCE));
            EntryHost host = loneHost();
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), host.callerPort())) {
                socket.getOutputStream()
                        .write(PlatformFixtures.streamRequest("r1", PlatformRig.KEY)
                                .getBytes(StandardCharsets.UTF_8));
                rig.await(() -> receivedInAll(backend) == 1);
            }
            rig.await(() -> rig.onLoop(backend::callerDisconnects) == 1);
        }
    }

    @Nested
    final class APlainRequest {
        private RunnerStandIn first;
        private RunnerStandIn second;

        private EntryHost hostWithTwoServers() {
            first = rig.backend("desk", "d-1", "v1");
            second = rig.backend("desk", "d-2", "v1");
            return loneHost();
        }

        private void both(Act act) {
            rig.onLoop(() -> {
                first.enqueueActs(act);
                second.enqueueActs(act);
            });
        }

        @Test
        void that_is_idempotent_is_sent_again_after_a_lost_answer() {
            EntryHost host = hostWithTwoServers();
            rig.onLoop(() -> first.enqueueActs(Act.LOSE_ANSWER));
            rig.onLoop(() -> second.enqueueActs(Act.ANSWER, Act.ANSWER));
            assertThat(rig.plain(host, "GET", "/lookups/x", "r1")).startsWith("HTTP/1.1 200");
        }

        @Test
        void that_is_idempotent_is_sent_again_after_a_failure() {
            EntryHost host = hostWithTwoServers();
            rig.onLoop(() -> first.enqueueActs(Act.FAIL));
            assertThat(rig.plain(host, "GET", "/lookups/x", "r1")).startsWith("HTTP/1.1 200");
        }

        @Test
        void that_may_run_once_is_not_sent_again_and_not_called_unrun_after_a_lost_answer() {
            EntryHost host = hostWithTwoServers();
            both(Act.LOSE_ANSWER);
            assertThat(rig.plain(host, "POST", "/bookings/x", "r1")).startsWith("HTTP/1.1 502");
            assertThat(receivedInAll(first, second)).isEqualTo(1);
        }

        @Test
        void that_no_server_ran_is_refused_with_a_time_to_come_back() {
            EntryHost host = hostWithTwoServers();
            both(Act.REFUSE);
            String answer = rig.plain(host, "POST", "/bookings/x", "r1");
            assertThat(answer).startsWith("HTTP/1.1 503");
            assertThat(answer).contains("retry-after: ");
        }

        @Test
        void never_gets_the_answer_of_another_request() {
            EntryHost host = hostWithTwoServers();
            both(Act.ANSWER_ANOTHER);
            assertThat(rig.plain(host, "POST", "/bookings/x", "r1")).startsWith("HTTP/1.1 504");
        }

        @Test
        void is_not_run_by_a_server_that_took_over_the_address() {
            EntryHost host = hostWithTwoServers();
            rig.onLoop(() -> {
                first.restartAs("d-8");
                second.restartAs("d-9");
            });
            assertThat(rig.plain(host, "POST", "/bookings/x", "r1")).startsWith("HTTP/1.1 503");
            assertThat(receivedInAll(first, second)).isEqualTo(0);
        }

        @Test
        void that_crashed_three_servers_reaches_no_fourth_on_any_host() {
            int port = PlatformRig.freePort();
            EntryHost first = rig.host("h-1", port, List.of());
            EntryHost other = rig.host("h-2", PlatformRig.freePort(), List.of(port));
            for (int crash = 1; crash <= 3; crash++) {
                String id = "d-" + crash;
                RunnerStandIn server = rig.backend("desk", id, "v1");
                rig.awaitBackends(first, 1);
                rig.onLoop(() -> server.enqueueActs(Act.LOSE_ANSWER));
                assertThat(rig.plain(first, "POST", "/bookings/x", "r" + crash)).startsWith("HTTP/1.1 502");
                rig.onLoop(() -> rig.store.delete("servers/" + id));
                rig.awaitBackends(first, 0);
            }
            RunnerStandIn fourth = rig.backend("desk", "d-4", "v1");
            rig.onLoop(() -> fourth.enqueueActs(Act.LOSE_ANSWER));
            rig.awaitBackends(other, 1);
            rig.awaitBackends(first, 1);
            rig.await(() -> rig.plain(other, "POST", "/bookings/x", "r9").startsWith("HTTP/1.1 503"));
            int received = rig.onLoop(fourth.receivedRequests()::size);
            assertThat(rig.plain(first, "POST", "/bookings/x", "r10")).startsWith("HTTP/1.1 503");
            assertThat(rig.onLoop(fourth.receivedRequests()::size)).isEqualTo(received);
        }

        @Test
        void with_an_unknown_key_is_unauthorized_and_without_a_route_not_found() {
            EntryHost host = hostWithTwoServers();
            String stranger = PlatformRig.closing(PlatformFixtures.plainRequest("GET", "/lookups/x", "r1", "k9"));
            assertThat(PlatformRig.exchange(host.callerPort(), stranger)).startsWith("HTTP/1.1 401");
            assertThat(rig.plain(host, "GET", "/nowhere/x", "r2")).startsWith("HTTP/1.1 404");
        }
    }

    @Nested
    final class Knowledge {
        @Test
        void of_a_removed_key_comes_into_force() {
            rig.backend("desk", "d-1", "v1");
            EntryHost host = loneHost();
            assertThat(rig.plain(host, "GET", "/lookups/x", "r1")).startsWith("HTTP/1.1 200");
            rig.onLoop(() -> rig.store.put("op/config", PlatformFixtures.configuration(4, "k2")));
            rig.await(() -> rig.plain(host, "GET", "/lookups/x", "r2").startsWith("HTTP/1.1 401"));
        }

        @Test
        void of_an_older_configuration_changes_nothing() {
            rig.backend("desk", "d-1", "v1");
            EntryHost host = loneHost();
            rig.onLoop(() -> rig.store.put("op/config", PlatformFixtures.configuration(4, "k2")));
            rig.await(() -> rig.plain(host, "GET", "/lookups/x", "r1").startsWith("HTTP/1.1 401"));
            rig.onLoop(() -> rig.store.put("op/config", PlatformFixtures.configuration(3, PlatformRig.KEY)));
            // Comes with the same watch, after the configuration.
            rig.onLoop(() -> rig.store.put("op/rollout/desk", "[]"));
            rig.await(() -> rig.get(host.metricsPort(), "/metrics").contains("store_values_unreadable_total 1"));
            assertThat(rig.plain(host, "GET", "/lookups/x", "r2")).startsWith("HTTP/1.1 401");
        }

        @Test
        void of_a_draining_server_keeps_new_requests_from_it() {
            RunnerStandIn leaving = rig.backend("desk", "d-1", "v1");
            RunnerStandIn staying = rig.backend("desk", "d-2", "v1");
            EntryHost host = loneHost();
            rig.onLoop(() -> rig.store.put(
                    "servers/d-1", PlatformFixtures.backendEntry("desk", rig.backendPort("d-1"), "v1", "draining")));
            rig.onLoop(() -> rig.store.put("servers/d-3", "{\"state\":1}"));
            rig.await(() -> rig.get(host.metricsPort(), "/metrics").contains("store_values_unreadable_total 1"));
            int before = receivedInAll(leaving);
            IntStream.range(0, 6).forEach(index -> rig.plain(host, "GET", "/lookups/x", "r" + index));
            assertThat(receivedInAll(leaving)).isEqualTo(before);
            assertThat(receivedInAll(staying)).isAtLeast(6);
        }

        @Test
        void survives_an_outage_of_the_store() {
            rig.backend("desk", "d-1", "v1");
            EntryHost host = loneHost();
            rig.onLoop(() -> rig.store.setFault(StoreStandIn.Fault.REFUSING));
            assertThat(rig.plain(host, "GET", "/lookups/x", "r1")).startsWith("HTTP/1.1 200");
            assertThat(rig.ready(host)).isTrue();
        }

        @Test
        void is_listed_anew_when_the_store_has_dropped_its_history() {
            rig.backend("desk", "d-1", "v1");
            EntryHost host = loneHost();
            rig.onLoop(() -> {
                rig.store.setFault(StoreStandIn.Fault.REFUSING);
                rig.store.put("op/config", PlatformFixtures.configuration(4, "k2"));
                rig.store.compactHistory();
                rig.store.setFault(StoreStandIn.Fault.NONE);
            });
            rig.await(() -> rig.plain(host, "GET", "/lookups/x", "r1").startsWith("HTTP/1.1 401"));
        }

        @Test
        void reaches_a_host_that_starts_while_the_store_is_away() {
            rig.backend("desk", "d-1", "v1");
            int firstPeer = PlatformRig.freePort();
            rig.host("entry-1", firstPeer, List.of());
            rig.onLoop(() -> rig.store.setFault(StoreStandIn.Fault.REFUSING));
            EntryHost late = rig.host("entry-2", PlatformRig.freePort(), List.of(firstPeer));
            assertThat(rig.plain(late, "GET", "/lookups/x", "r1")).startsWith("HTTP/1.1 200");
        }
    }

    @Nested
    final class ARollout {
        private void order(double seconds) {
            rig.onLoop(() -> rig.store.put(
                    "op/rollout/llm", "{\"service\":\"llm\",\"target\":\"v2\",\"duration_s\":" + seconds + "}"));
        }

        private String state() {
            return rig.onLoop(() -> rig.store.read("status/rollout/llm").orElse(""));
        }

        @Test
        void of_a_good_version_is_completed() {
            rig.backend("llm", "i-1", "v1");
            rig.backend("llm", "i-2", "v2");
            loneHost();
            order(1.5);
            rig.await(() -> state().contains("\"completed\""));
            assertThat(state()).contains("\"target\":\"v2\"");
        }

        @Test
        void of_a_bad_version_is_reverted_and_gets_no_further_request() {
            rig.backend("llm", "i-1", "v1");
            RunnerStandIn bad = rig.backend("llm", "i-2", "v2");
            EntryHost host = loneHost();
            rig.onLoop(() -> IntStream.range(0, 500).forEach(_index -> bad.enqueueActs(Act.FAIL)));
            order(3.0);
            int[] sent = new int[1];
            rig.await(() -> {
                sent[0]++;
                rig.stream(host, "r" + sent[0]);
                return state().contains("\"reverted\"");
            });
            int before = receivedInAll(bad);
            IntStream.range(0, 10).forEach(index -> rig.stream(host, "after" + index));
            assertThat(receivedInAll(bad)).isEqualTo(before);
        }

        @Test
        void of_a_bad_version_fails_no_request_that_the_version_before_can_answer() {
            rig.backend("llm", "i-1", "v1");
            List<RunnerStandIn> bad = List.of(rig.backend("llm", "i-2", "v2"), rig.backend("llm", "i-3", "v2"));
            EntryHost host = loneHost();
            rig.onLoop(() ->
                    bad.forEach(server -> IntStream.range(0, 500).forEach(_index -> server.enqueueActs(Act.FAIL))));
            order(3.0);
            int[] sent = new int[1];
            rig.await(() -> {
                sent[0]++;
                assertThat(rig.stream(host, "r" + sent[0])).startsWith("HTTP/1.1 200");
                return state().contains("\"reverted\"");
            });
        }

        @Test
        void on_trial_leaves_a_session_alone_whose_last_request_took_longer_than_its_idle_time() {
            rig.sessionMillis = 300L;
            RunnerStandIn before = rig.backend("llm", "i-1", "v1");
            RunnerStandIn target = rig.backend("llm", "i-2", "v2");
            EntryHost host = loneHost();
            String session = IntStream.range(0, 1_000)
                    .mapToObj(index -> "session-" + index)
                    .filter(name -> StableHash.toUnitInterval(StableHash.of("llm/v2", name)) < 0.05)
                    .findFirst()
                    .orElseThrow();
            rig.onLoop(() -> {
                before.enqueueActs(Act.DELAY);
                target.enqueueActs(Act.DELAY);
            });
            CompletableFuture<String> first =
                    CompletableFuture.supplyAsync(() -> streamOf(host, session, "r1"), ForkJoinPool.commonPool());
            rig.await(() -> receivedInAll(before, target) == 1);
            int onTarget = receivedInAll(target);
            order(5.0);
            assertThat(first.join()).startsWith("HTTP/1.1 200");
            assertThat(streamOf(host, session, "r2")).startsWith("HTTP/1.1 200");
            assertThat(onTarget).isEqualTo(0);
            assertThat(receivedInAll(target)).isEqualTo(0);
        }

        private String streamOf(EntryHost host, String session, String id) {
            return PlatformRig.exchange(
                    host.callerPort(),
                    PlatformRig.closing(PlatformFixtures.streamRequest(id, PlatformRig.KEY)
                            .replace("Session: s1", "Session: " + session)));
        }

        @Test
        void is_written_once_though_the_stores_answers_are_lost() {
            rig.backend("llm", "i-1", "v1");
            rig.backend("llm", "i-2", "v2");
            loneHost();
            rig.onLoop(() -> rig.store.setFault(StoreStandIn.Fault.LOSING_ANSWERS));
            order(1.0);
            rig.await(() -> state().contains("\"completed\""));
        }
    }

    @Nested
    final class AStart {
        @Test
        void answers_callers_that_came_before_the_host_had_started() throws IOException {
            rig.backend("desk", "d-1", "v1");
            String address = "127.0.0.1:" + PlatformRig.freePort();
            EarlyListener early = EarlyListener.at(address);
            int port = SocketAddresses.parse(address).getPort();
            try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
                caller.setSoTimeout(20_000);
                String request = PlatformFixtures.plainRequest("GET", "/lookups/x", "r1", PlatformRig.KEY);
                caller.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
                EntryHost host = rig.startHost("h-1", PlatformRig.freePort(), List.of(), address, early);
                String status = new String(caller.getInputStream().readNBytes(12), StandardCharsets.UTF_8);
                assertThat(status).isEqualTo("HTTP/1.1 200");
                assertThat(host.callerPort()).isEqualTo(port);
            }
        }

        @Test
        void listens_where_the_settings_say_if_the_early_address_is_another() {
            rig.backend("desk", "d-1", "v1");
            int other = PlatformRig.freePort();
            EarlyListener early = EarlyListener.at("127.0.0.1:" + other);
            EntryHost host = rig.startHost("h-1", PlatformRig.freePort(), List.of(), "127.0.0.1:0", early);
            rig.await(() -> rig.ready(host));
            assertThat(rig.plain(host, "GET", "/lookups/x", "r1")).startsWith("HTTP/1.1 200");
            assertThat(rig.get(other, "/lookups/x")).startsWith("connection failed");
        }
    }

    @Nested
    final class AStop {
        @Test
        void lets_a_request_in_progress_end_and_says_that_the_host_is_not_ready() {
            rig.backend("desk", "d-1", "v1");
            EntryHost host = loneHost();
            CompletableFuture<Void> stopped = host.stop();
            rig.await(() -> !rig.ready(host));
            assertThat(rig.plain(host, "GET", "/lookups/x", "r1")).startsWith("HTTP/1.1 200");
            stopped.join();
            assertThat(rig.plain(host, "GET", "/lookups/x", "r2")).startsWith("connection failed");
        }

        @Test
        void answers_each_request_that_was_read_before_the_process_ends() {
            RunnerStandIn server = rig.backend("desk", "d-1", "v1");
            EntryHost host = loneHost();
            rig.onLoop(() -> IntStream.range(0, 500).forEach(_index -> server.enqueueActs(Act.DELAY)));
            CompletableFuture<Void> ended = host.stop().thenRun(host::kill);
            Map<String, CompletableFuture<String>> answers = new HashMap<>();
            rig.await(() -> {
                String id = "r" + answers.size();
                answers.put(
                        id,
                        CompletableFuture.supplyAsync(
                                () -> rig.plain(host, "GET", "/lookups/x", id), ForkJoinPool.commonPool()));
                return ended.isDone();
            });
            List<CallerRequest> passedOn = received(server);
            assertThat(passedOn).isNotEmpty();
            passedOn.forEach(request -> assertThat(
                            answers.get(request.headers().get("X-Attempt-Id")).join())
                    .startsWith("HTTP/1.1 200"));
        }
    }
}
