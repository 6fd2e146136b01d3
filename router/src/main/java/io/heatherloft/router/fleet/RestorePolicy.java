package io.heatherloft.router.fleet;

import io.heatherloft.domain.route.BackendRegistration;
import io.heatherloft.router.fleet.PrefixReplica.Change;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides what holds after the store has been restored from an older copy: what was known of a key in an earlier era, or
 * what the store says now.
 *
 * <p>Operators and backend servers write again what the store has lost, and it removes again what had been removed; until
 * then, what was known before still holds. The copy is a prefix of the earlier history, so a change with a higher number
 * than the last one known before cannot stem from the copy. Immutable and thread-safe.
 */
final class RestorePolicy {
    /** Backend servers that are missing from the copy register again within this time, in milliseconds. */
    static final long REREGISTRATION_MILLIS = 2_000L;
    /** Hosts have told each other by then which servers had left before the restore, in milliseconds. */
    static final long EXCHANGE_MILLIS = 1_000L;
    /** Operators have written their last order again by then, in milliseconds. */
    static final long REORDER_MILLIS = 2_000L;
    /** The entry of a backend server that no longer runs has expired again by then, in milliseconds. */
    static final long EXPIRY_MILLIS = 8_000L;

    /** Ages of an era, in milliseconds, at which earlier changes cease to hold. */
    static final List<Long> SETTLING_MILLIS =
            List.of(EXCHANGE_MILLIS, REREGISTRATION_MILLIS, REORDER_MILLIS, EXPIRY_MILLIS);

    private final StoredFormats formats;

    RestorePolicy(StoredFormats formats) {
        this.formats = formats;
    }

    /**
     * Returns true if an earlier change of a key still holds.
     *
     * @param current newest change of the key in the store's current era; empty if the store has listed its keys without it
     * @param eraAgeMillis time since this host learned of the current era
     */
    boolean stillHolds(Change earlier, Optional<Change> current, long eraAgeMillis) {
        if (current.filter(change -> change.hasSameResult(earlier)).isPresent()) {
            return false;
        }
        String key = earlier.key();
        if (key.equals(formats.configurationKey())) {
            return isNewerConfiguration(earlier, current);
        } else if (key.startsWith(formats.rolloutOrderPrefix())) {
            return isLostOrder(earlier, current, eraAgeMillis);
        } else if (key.startsWith(formats.evacuationPrefix())) {
            return isEvacuationUnchanged(earlier, current, eraAgeMillis);
        } else if (key.startsWith(formats.backendPrefix())) {
            return isNewerBackend(earlier, current, eraAgeMillis);
        }
        // Hosts write all other keys themselves, from what they know.
        return false;
    }

    /** Returns true if other hosts that do not know an earlier change should learn of it. */
    boolean isShared(Change earlier) {
        return !earlier.key().startsWith(formats.backendPrefix())
                || earlier.deleted()
                || readBackend(earlier).map(BackendRegistration::draining).orElse(false);
    }

    private boolean isNewerConfiguration(Change earlier, Optional<Change> current) {
        OptionalLong earlierVersion = configurationVersion(earlier);
        OptionalLong currentVersion = current.filter(change -> !change.deleted())
                .map(this::configurationVersion)
                .orElseGet(OptionalLong::empty);
        return earlierVersion.isPresent()
                && (currentVersion.isEmpty() || currentVersion.getAsLong() < earlierVersion.getAsLong());
    }

    private OptionalLong configurationVersion(Change change) {
        try {
            return change.value().isPresent()
                    ? OptionalLong.of(
                            formats.readConfiguration(change.value().get()).version())
                    : OptionalLong.empty();
        } catch (UnreadableValueException _exception) {
            return OptionalLong.empty();
        }
    }

    private static boolean isLostOrder(Change earlier, Optional<Change> current, long eraAgeMillis) {
        return current.map(change -> !isWrittenSince(earlier, change) && eraAgeMillis < REORDER_MILLIS)
                .orElseGet(() -> !earlier.deleted());
    }

    // A revocation is kept while the store has no such key, so that a host that missed it learns of it and does not
    // spread the evacuation anew.
    private static boolean isEvacuationUnchanged(Change earlier, Optional<Change> current, long eraAgeMillis) {
        return current.isEmpty() || isLostOrder(earlier, current, eraAgeMillis);
    }

    private boolean isNewerBackend(Change earlier, Optional<Change> current, long eraAgeMillis) {
        Optional<BackendRegistration> before = readBackend(earlier);
        Optional<BackendRegistration> now = current.flatMap(this::readBackend);
        if (current.isPresent() && (current.get().deleted() || isWrittenSince(earlier, current.get()))) {
            return false;
        }
        if (before.isEmpty() || now.isEmpty()) {
            return !earlier.deleted() && eraAgeMillis < REREGISTRATION_MILLIS;
        }
        boolean newerReport = now.get().startedAtMillis() > before.get().startedAtMillis()
                || (now.get().startedAtMillis() == before.get().startedAtMillis()
                        && now.get().sequence() > before.get().sequence());
        boolean unusable = earlier.deleted() || before.get().draining();
        boolean olderStart = now.get().startedAtMillis() < before.get().startedAtMillis();
        return !newerReport && (unusable || olderStart) && eraAgeMillis < EXPIRY_MILLIS;
    }

    private Optional<BackendRegistration> readBackend(Change change) {
        try {
            return change.value().isPresent()
                    ? Optional.of(formats.readBackend(
                            change.key().substring(formats.backendPrefix().length()),
                            change.value().get()))
                    : Optional.empty();
        } catch (UnreadableValueException _exception) {
            return Optional.empty();
        }
    }

    private static boolean isWrittenSince(Change earlier, Change current) {
        return current.revision().number() > earlier.revision().number();
    }
}
