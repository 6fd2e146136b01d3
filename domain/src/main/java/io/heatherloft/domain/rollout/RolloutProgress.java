package io.heatherloft.domain.rollout;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * How far a roll-out had come when a host recorded it, so that hosts that restart go on from there.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param orderRevision revision of the order
 * @param elapsedMillis time since the order was first seen
 */
public record RolloutProgress(long orderRevision, long elapsedMillis) {
    private static final Pattern STORED_FORM = Pattern.compile("order ([0-9]{1,18}) elapsed ([0-9]{1,12})");

    /** Returns the stored form. */
    public String toText() {
        return "order " + orderRevision + " elapsed " + elapsedMillis;
    }

    /** Reads the stored form; empty if the text is none. */
    public static Optional<RolloutProgress> parse(String text) {
        Matcher matcher = STORED_FORM.matcher(text);
        return matcher.matches()
                ? Optional.of(new RolloutProgress(Long.parseLong(matcher.group(1)), Long.parseLong(matcher.group(2))))
                : Optional.empty();
    }
}
