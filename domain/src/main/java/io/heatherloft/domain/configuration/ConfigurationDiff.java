package io.heatherloft.domain.configuration;

import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * What changes between two configurations, by declared name. Immutable and safe for use by several threads.
 */
public record ConfigurationDiff(List<Change> changes) {
    /** Compares two configurations. */
    public static ConfigurationDiff between(Configuration before, Configuration after) {
        return new ConfigurationDiff(Stream.of(
                        compare("model", before.models(), after.models()),
                        compare("pool", before.pools(), after.pools()),
                        compare("cascade", before.cascades(), after.cascades()),
                        compare("service", before.services(), after.services()),
                        compare("rollout", before.rollouts(), after.rollouts()),
                        compare("workspace", before.workspaces(), after.workspaces()))
                .flatMap(List::stream)
                .toList());
    }

    /** Returns the changes on one line, for the audit trail. */
    public String summary() {
        return changes.isEmpty()
                ? "no change"
                : changes.stream().map(Change::toString).collect(Collectors.joining(", "));
    }

    private static <T> List<Change> compare(String kind, Map<String, T> before, Map<String, T> after) {
        TreeSet<String> names = new TreeSet<>(before.keySet());
        names.addAll(after.keySet());
        return names.stream()
                .filter(name -> !after.containsKey(name) || !after.get(name).equals(before.get(name)))
                .map(name -> new Change(kind, name, changeTypeOf(before.containsKey(name), after.containsKey(name))))
                .toList();
    }

    private static ChangeType changeTypeOf(boolean before, boolean after) {
        if (!before) {
            return ChangeType.ADDED;
        }
        return after ? ChangeType.CHANGED : ChangeType.REMOVED;
    }

    /** How a declaration changes. */
    public enum ChangeType {
        /** It is new. */
        ADDED,
        /** It is gone. */
        REMOVED,
        /** Its content differs. */
        CHANGED
    }

    /** A change of one declaration. */
    public record Change(String kind, String name, ChangeType what) {
        @Override
        public String toString() {
            return kind + " " + name + " " + what.name().toLowerCase(java.util.Locale.ROOT);
        }
    }
}
