package io.heatherloft.domain.rollout;

import io.heatherloft.domain.StoreRevision;
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
public record RolloutProgress(StoreRevision orderRevision, long elapsedMillis) {
    private static final Pattern STORED_FORM =
            Pattern.compile("order (?:([0-9]{1,18})\\.)?([0-9]{1,18}) elapsed ([0-9]{1,12})");

    /** Returns the representation in the store. */
    public String toText() {
        return "order " + orderRevision + " elapsed " + elapsedMillis;
    }

    /** Parses the representation in the store; empty if the text is malformed. */
    public static Optional<RolloutProgress> parse(String text) {
        Matcher matcher = STORED_FORM.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        long era = matcher.group(1) == null ? 0 : Long.parseLong(matcher.group(1));
        StoreRevision order = new StoreRevision(era, Long.parseLong(matcher.group(2)));
        return Optional.of(new RolloutProgress(order, Long.parseLong(matcher.group(3))));
    }

    /**
     * Returns true if this is the progress of an order, given the order's revision.
     *
     * <p>A record from an earlier era is part of the copy from which the store was restored, and so is its order, which
     * has kept its number: hosts record progress only while the order is in the store.
     */
    public boolean isOf(StoreRevision order) {
        return orderRevision.number() == order.number() && orderRevision.era() <= order.era();
    }
}
