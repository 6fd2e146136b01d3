package io.heatherloft.cli.logs;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.cli.CommandLine;
import io.heatherloft.cli.ExitCode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class LogCommandsTest {
    private static final String FIRST_HOST =
            """
            {"time_ms":1000,"host":"h-1","kind":"lifecycle","event":"start"}
            {"time_ms":1100,"host":"h-1","kind":"belief","event":"configuration","version":3,"revision":7,"outcome":"in_force"}
            {"time_ms":1200,"host":"h-1","kind":"belief","event":"backend_server","backend_id":"i-1","revision":5,"outcome":"ready"}
            {"time_ms":1300,"host":"h-1","kind":"belief","event":"backend_server","backend_id":"i-2","revision":6,"outcome":"ready"}
            {"time_ms":2000,"host":"h-1","kind":"request","event":"dispatch","request_id":"r1","backend_id":"i-1","send":1,"outcome":"sent"}
            {"time_ms":2001,"host":"h-1","kind":"request","event":"dispatch","request_id":"r2","backend_id":"i-2","send":1,"outcome":"sent"}
            collector restarted
            {"time_ms":2500,"host":"h-1","kind":"belief","event":"configuration","version":4,"revision":9,"outcome":"in_force"}
            12.5 h-1 {"time_ms":2600,"host":"h-1","kind":"request","event":"ended","request_id":"r1","configuration_revision":9,"status":504,"outcome":"TIMED_OUT"}
            {"time_ms":2700,"host":"h-1","kind":"req
            {"time_ms":9000,"host":"h-1","kind":"lifecycle","event":"stop","lines_dropped_before":4}
            """;
    private static final String SECOND_HOST =
            """
            {"time_ms":900,"host":"h-2","kind":"lifecycle","event":"start"}
            {"time_ms":1150,"host":"h-2","kind":"belief","event":"configuration","version":3,"revision":7,"outcome":"in_force"}
            {"time_ms":9000,"host":"h-2","kind":"lifecycle","event":"stop"}
            """;

    @TempDir
    Path directory;

    private Path first;
    private Path second;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @BeforeEach
    void writeLogs() throws IOException {
        first = Files.writeString(directory.resolve("h-1.log"), FIRST_HOST);
        second = Files.writeString(directory.resolve("h-2.log"), SECOND_HOST);
    }

    private ExitCode run(String... arguments) {
        return new CommandLine(
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8))
                .run(arguments);
    }

    private String standardOutput() {
        return out.toString(StandardCharsets.UTF_8);
    }

    @Nested
    final class Explain {
        @Test
        void prints_each_decision_with_the_host_state_at_that_time() {
            assertThat(run("explain", "r1", "--logs", first.toString(), second.toString()))
                    .isEqualTo(ExitCode.OK);
            assertThat(standardOutput())
                    .isEqualTo(
                            """
                    request r1 from 1970-01-01T00:00:02Z
                      +0 ms      h-1 dispatch: backend_id i-1, send 1, outcome sent
                        known, 800 ms old: h-1 backend_server: backend_id i-1, revision 5, outcome ready
                      +600 ms    h-1 ended: configuration_revision 9, status 504, outcome TIMED_OUT
                        known, 100 ms old: h-1 configuration: version 4, revision 9, outcome in_force
                    outcome: TIMED_OUT, status 504
                    """);
        }

        @Test
        void reports_a_malformed_line_by_file_and_line_number() {
            run("explain", "r1", "--logs", first.toString());
            assertThat(err.toString(StandardCharsets.UTF_8)).contains(first + ":10: expected a JSON object");
        }

        @Test
        void reports_the_number_of_missing_lines_if_none_matches() {
            assertThat(run("explain", "r9", "--logs", first.toString())).isEqualTo(ExitCode.NOT_FOUND);
            assertThat(err.toString(StandardCharsets.UTF_8))
                    .contains("r9: no log line of this request in 1 files (4 lines dropped by hosts, 1 malformed)");
        }

        @Test
        void prints_json_if_requested() {
            run("--output", "json", "explain", "r2", "--logs", first.toString());
            assertThat(standardOutput()).startsWith("{\"request_id\":\"r2\",\"steps\":[{\"decision\":{");
            assertThat(standardOutput()).contains("\"known\":[{\"time_ms\":1300");
        }
    }

    @Nested
    final class Timeline {
        @Test
        void prints_each_change_once_with_the_hosts_that_did_not_learn_of_it() {
            assertThat(run("timeline", "--logs", first.toString(), second.toString()))
                    .isEqualTo(ExitCode.OK);
            assertThat(standardOutput())
                    .contains("configuration (2 hosts in 50 ms): version 3, revision 7, outcome in_force\n");
            assertThat(standardOutput())
                    .contains("configuration (h-1): version 4, revision 9, outcome in_force\n    not learned by h-2\n");
        }
    }
}
