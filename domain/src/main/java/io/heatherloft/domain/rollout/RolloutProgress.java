package io.heatherloft.domain.rollout;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Recorded progress of a rollout, from which hosts resume it after a restart.
 *
 * <p>Immutable and thread-safe.
 *
 * @param orderRevision store revision of the order
 * @param elapsedMillis time since a host first saw the order
 */
public record RolloutProgress(long orderRevision, long elapsedMillis) {
    private static final Pattern STORED_FORM = Pattern.compile("order ([0-9]{1,18}) elapsed ([0-9]{1,12})");

    /** Returns the representation in the store. */
    public String toText() {
        return "order " + orderRevision + " elapsed " + elapsedMillis;
    }

    /** Parses the representation in the store; empty if the text is malformed. */
    public static Optional<RolloutProgress> parse(String text) {
        Matcher matcher = STORED_FORM.matcher(text);
        return matcher.matches()
                ? Optional.of(new RolloutProgress(Long.parseLong(matcher.group(1)), Long.parseLong(matcher.group(2))))
                : Optional.empty();
    }
}
