package io.heatherloft.domain;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.domain.configuration.ConfigurationFile;
import io.heatherloft.domain.configuration.ConfigurationParser;
import io.heatherloft.domain.configuration.ConfigurationParser.ParseResult;
import io.heatherloft.domain.configuration.Finding;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class ConfigurationParserTest {
    private static final String MODELS =
            """
            pools:
              - {name: runners}
            models:
              - name: small
                versions:
                  - {name: "1", pool: runners}
            """;

    private static List<String> findings(String... texts) {
        List<ConfigurationFile> files = java.util.stream.IntStream.range(0, texts.length)
                .mapToObj(index -> new ConfigurationFile("file-" + index + ".yaml", texts[index]))
                .toList();
        return ConfigurationParser.parse(files).findings().stream()
                .map(Finding::toString)
                .toList();
    }

    @Nested
    final class ValidConfiguration {
        @Test
        void may_be_split_across_files_in_any_order() {
            ParseResult result = ConfigurationParser.parse(List.of(
                    new ConfigurationFile("a.yaml", "workspaces:\n  - name: club\n    models: [{model: small}]\n"),
                    new ConfigurationFile("b.yaml", MODELS)));
            assertThat(result.findings()).isEmpty();
            assertThat(result.configuration().orElseThrow().workspaces()).containsKey("club");
        }
    }

    @Nested
    final class Findings {
        @Test
        void contain_position_value_expectation_and_near_match() {
            assertThat(findings(MODELS, "workspaces:\n  - name: club\n    models: [{model: smal}]\n"))
                    .containsExactly("file-1.yaml:3:22: 'smal': expected a declared model; did you mean 'small'?");
        }

        @Test
        void are_all_reported_together() {
            assertThat(findings(
                            "pools:\n  - {name: a, max-in-flight-per-server: many}\n  - {name: a}\n",
                            "model: []\n",
                            "a: [\n"))
                    .hasSize(4);
        }

        @Test
        void of_unknown_keys_suggest_the_nearest() {
            assertThat(findings("pools:\n  - {name: a, max-in-flight-per-sever: 3}\n"))
                    .containsExactly("file-0.yaml:2:15: 'max-in-flight-per-sever': expected one of checks-fencing, "
                            + "max-in-flight-per-server, name; did you mean 'max-in-flight-per-server'?");
        }

        @Test
        void never_contain_a_key_digest() {
            String secret = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcde!";
            List<String> findings = findings("workspaces:\n  - name: club\n    key-digests: [" + secret + "]\n");
            assertThat(findings).hasSize(1);
            assertThat(findings.get(0)).doesNotContain(secret);
        }
    }
}
