package io.heatherloft.domain.route;

import io.heatherloft.domain.route.CrashingPromptDetector.Crash;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * The crashes for which prompt parts are blocked, in the form in which hosts store them.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name identifies the blocked parts
 * @param crashes the crashes; in a record read from the store they have the time of reading, because clocks differ, but
 *     those of different servers are still at different moments
 */
public record CrashRecord(String name, List<Crash> crashes) {
    private static final Pattern LINE = Pattern.compile("([0-9a-f]{1,16}) ([0-9a-f]{1,16}) ([0-9a-f]{1,16})");
    private static final int HEXADECIMAL = 16;

    /** Returns the name of a record of blocked parts. */
    public static String nameOf(Set<Long> parts) {
        return parts.stream().sorted().map(Long::toHexString).collect(Collectors.joining("."));
    }

    /** Returns one line for each crash: part, server and request in hexadecimal. */
    public String toText() {
        return crashes.stream()
                .map(crash -> Long.toHexString(crash.part())
                        + ' '
                        + Long.toHexString(crash.server())
                        + ' '
                        + Long.toHexString(crash.request()))
                .collect(Collectors.joining("\n"));
    }

    /** Parses the text of a record; empty if it is malformed. */
    public static Optional<CrashRecord> parse(String name, String text, long nowMillis) {
        List<Matcher> lines = text.lines().map(LINE::matcher).toList();
        return lines.isEmpty() || !lines.stream().allMatch(Matcher::matches)
                ? Optional.empty()
                : Optional.of(new CrashRecord(name, crashesOf(lines, nowMillis)));
    }

    private static List<Crash> crashesOf(List<Matcher> lines, long nowMillis) {
        List<Long> servers =
                lines.stream().map(line -> number(line, 2)).distinct().toList();
        return lines.stream()
                .map(line -> new Crash(
                        number(line, 1),
                        number(line, 2),
                        number(line, 3),
                        nowMillis - servers.indexOf(number(line, 2)) * CrashEvidence.DISTINCT_MILLIS))
                .toList();
    }

    private static long number(Matcher line, int group) {
        return Long.parseUnsignedLong(line.group(group), HEXADECIMAL);
    }
}
