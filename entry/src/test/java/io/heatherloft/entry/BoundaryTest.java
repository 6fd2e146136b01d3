package io.heatherloft.entry;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Holds the users' platform to its folder, by a search of the sources. */
final class BoundaryTest {
    private static final Path ROOT = Path.of("").toAbsolutePath().getParent();
    private static final Pattern PLATFORM_NAME = Pattern.compile(
            "\"(?i:x-(attempt-id|runner-seal|expect-runner|expect-version|deadline-ms|tenant-name|not-executed|"
                    + "request-urgency|model-name|token-count|prompt-prefix|hint-confidence|kv-hold|pin-ms|kv-backup|"
                    + "length-hint|weight-versions|runner-id)|kv-from|kv-fetch)|/v1/kv-|op/config|op/rollout|"
                    + "HEATHERLOFT_NODE_FILE|\"(route_type|api_keys|max_attempts|listen_addrs|set_keys)\"");

    private static List<Path> sources(String module) throws IOException {
        try (Stream<Path> files = Files.walk(ROOT.resolve(module).resolve("src/main/java"))) {
            return files.filter(file -> file.toString().endsWith(".java")).toList();
        }
    }

    private static boolean containsPlatformName(Path file) {
        try {
            return PLATFORM_NAME.matcher(Files.readString(file)).find();
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    @Nested
    final class ThePlatformsNames {
        @Test
        void appear_only_in_the_platform_module_and_its_stand_ins() throws IOException {
            for (String module : List.of("domain", "ports", "peer", "router", "entry", "soak", "daemon", "cli")) {
                assertThat(sources(module).stream().filter(BoundaryTest::containsPlatformName).toList())
                        .isEmpty();
            }
            assertThat(sources("platform").stream().anyMatch(BoundaryTest::containsPlatformName))
                    .isTrue();
        }
    }

    @Nested
    final class ThePlatformModule {
        @Test
        void imports_no_decision_logic_and_stays_small() throws IOException {
            Pattern decision =
                    Pattern.compile("import io\\.heatherloft\\.(domain\\.(routing|admission|cascade|membership|ledger)|"
                            + "router\\.(request\\.(RequestEngine|RequestExecution|Attempt)|peers))");
            for (Path file : sources("platform")) {
                assertThat(decision.matcher(Files.readString(file)).find()).isFalse();
            }
            long lines = 0;
            for (Path file : sources("platform")) {
                lines += Files.readString(file).lines().count();
            }
            assertThat(lines).isLessThan(1_500L);
        }
    }
}
