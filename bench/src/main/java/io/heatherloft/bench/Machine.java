package io.heatherloft.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Describes the machine that figures come from. Stateless and safe for use by several threads. */
final class Machine {
    private static final long BYTES_PER_GIBIBYTE = 1L << 30;

    private Machine() {}

    static String describe() {
        return Runtime.getRuntime().availableProcessors() + " cores of " + processor() + ", "
                + Runtime.getRuntime().maxMemory() / BYTES_PER_GIBIBYTE + " GiB heap at most, Java "
                + System.getProperty("java.version") + ", " + System.getProperty("os.name");
    }

    private static String processor() {
        try {
            return Files.readAllLines(Path.of("/proc/cpuinfo")).stream()
                    .filter(line -> line.startsWith("model name"))
                    .map(line -> line.substring(line.indexOf(':') + 2))
                    .findFirst()
                    .orElse("an unnamed processor");
        } catch (IOException _exception) {
            return "an unnamed processor";
        }
    }
}
