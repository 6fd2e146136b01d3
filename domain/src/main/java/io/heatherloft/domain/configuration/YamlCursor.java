package io.heatherloft.domain.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.text.similarity.LevenshteinDistance;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.api.lowlevel.Compose;
import org.snakeyaml.engine.v2.exceptions.Mark;
import org.snakeyaml.engine.v2.exceptions.MarkedYamlEngineException;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;
import org.snakeyaml.engine.v2.nodes.MappingNode;
import org.snakeyaml.engine.v2.nodes.Node;
import org.snakeyaml.engine.v2.nodes.NodeTuple;
import org.snakeyaml.engine.v2.nodes.ScalarNode;
import org.snakeyaml.engine.v2.nodes.SequenceNode;

/**
 * Reads typed values from a YAML node and collects a finding, with its place, for each that does not fit.
 *
 * <p>Invariant: a read never throws on an operator's mistake; it adds a finding and returns a neutral value. Confined
 * to one thread.
 */
public final class YamlCursor {
    private static final int MAX_NEAR_MATCH_EDITS = 3;

    private final String file;
    private final Node node;
    private final List<Finding> findings;
    private final Set<String> keysRead = new HashSet<>();

    YamlCursor(String file, Node node, List<Finding> findings) {
        this.file = file;
        this.node = node;
        this.findings = findings;
    }

    /** Reads a file; a file that is not well-formed YAML, or is empty, gives no cursor and a finding. */
    public static Optional<YamlCursor> compose(ConfigurationFile file, List<Finding> findings) {
        LoadSettings settings = LoadSettings.builder().setLabel(file.path()).build();
        try {
            Optional<Node> root = new Compose(settings).composeString(file.text());
            return root.map(node -> new YamlCursor(file.path(), node, findings));
        } catch (MarkedYamlEngineException exception) {
            int line =
                    exception.getProblemMark().map(mark -> mark.getLine() + 1).orElse(0);
            int column =
                    exception.getProblemMark().map(mark -> mark.getColumn() + 1).orElse(0);
            findings.add(new Finding(
                    file.path(), line, column, exception.getProblem(), "well-formed YAML", Optional.empty()));
        } catch (YamlEngineException exception) {
            findings.add(new Finding(
                    file.path(), 0, 0, String.valueOf(exception.getMessage()), "well-formed YAML", Optional.empty()));
        }
        return Optional.empty();
    }

    /** Returns the value under {@code key}, if present. */
    public Optional<YamlCursor> child(String key) {
        keysRead.add(key);
        return tuples().stream()
                .filter(tuple -> key.equals(scalar(tuple.getKeyNode())))
                .findFirst()
                .map(tuple -> cursorAt(tuple.getValueNode()));
    }

    /** Returns the value under {@code key} as text, or adds a finding that it is missing. */
    public String requiredText(String key) {
        return child(key).map(YamlCursor::text).orElseGet(() -> {
            report("(no " + key + ")", "a value for '" + key + "'");
            return "";
        });
    }

    /** Returns the value under {@code key} as a whole number in a range. */
    public long wholeNumber(String key, long defaultValue, long minimum, long maximum) {
        return child(key)
                .map(value -> value.wholeNumberInRange(defaultValue, minimum, maximum))
                .orElse(defaultValue);
    }

    /** Returns the value under {@code key} as a number in a range. */
    public double number(String key, double defaultValue, double minimum, double maximum) {
        return child(key)
                .map(value -> value.numberInRange(defaultValue, minimum, maximum))
                .orElse(defaultValue);
    }

    /** Returns the value under {@code key} as true or false. */
    public boolean flag(String key, boolean defaultValue) {
        return child(key)
                .map(value -> oneOf(value, List.of("true", "false")).equals("true"))
                .orElse(defaultValue);
    }

    /** Returns the value of {@code value} if it is among {@code accepted}, else the first of them with a finding. */
    public static String oneOf(YamlCursor value, List<String> accepted) {
        String text = value.text();
        if (accepted.contains(text)) {
            return text;
        }
        value.reportUnknown(text, "one of " + String.join(", ", accepted), accepted);
        return accepted.get(0);
    }

    /** Returns the elements of the list under {@code key}; none if it is absent. */
    public List<YamlCursor> elements(String key) {
        return child(key).map(YamlCursor::elements).orElseGet(List::of);
    }

    /** Returns the elements of the list under {@code key} as text. */
    public List<String> texts(String key) {
        return elements(key).stream().map(YamlCursor::text).toList();
    }

    /** Returns the key and value pairs of this mapping. */
    List<Entry> entries() {
        List<Entry> entries = new ArrayList<>();
        for (NodeTuple tuple : tuples()) {
            entries.add(new Entry(
                    scalar(tuple.getKeyNode()), cursorAt(tuple.getKeyNode()), cursorAt(tuple.getValueNode())));
        }
        return entries;
    }

    /** Adds a finding for each key that was not read. */
    public void rejectUnknownKeys() {
        entries().stream().filter(entry -> !keysRead.contains(entry.key())).forEach(entry -> entry.keyCursor()
                .reportUnknown(entry.key(), "one of " + String.join(", ", sorted(keysRead)), sorted(keysRead)));
    }

    /** Returns this single value, or adds a finding that it is not one. */
    public String text() {
        if (node instanceof ScalarNode scalar) {
            return scalar.getValue();
        }
        report(node.getNodeType().name().toLowerCase(java.util.Locale.ROOT), "a single value");
        return "";
    }

    /** Adds a finding at this place. */
    public void report(String value, String expected) {
        findings.add(finding(value, expected, Optional.empty()));
    }

    void reportUnknown(String value, String expected, List<String> known) {
        findings.add(finding(value, expected, nearest(value, known)));
    }

    private Finding finding(String value, String expected, Optional<String> nearMatch) {
        Optional<Mark> mark = node.getStartMark();
        int line = mark.map(start -> start.getLine() + 1).orElse(0);
        int column = mark.map(start -> start.getColumn() + 1).orElse(0);
        return new Finding(file, line, column, value, expected, nearMatch);
    }

    private List<YamlCursor> elements() {
        if (node instanceof SequenceNode sequence) {
            return sequence.getValue().stream().map(this::cursorAt).toList();
        }
        report(describe(), "a list");
        return List.of();
    }

    private List<NodeTuple> tuples() {
        if (node instanceof MappingNode mapping) {
            return mapping.getValue();
        }
        if (keysRead.size() <= 1) {
            report(describe(), "a mapping of keys to values");
        }
        return List.of();
    }

    private String describe() {
        return node instanceof ScalarNode scalar ? scalar.getValue() : "(" + node.getNodeType() + ")";
    }

    private long wholeNumberInRange(long defaultValue, long minimum, long maximum) {
        String expected = "a whole number from " + minimum + " to " + maximum;
        try {
            long value = Long.parseLong(text());
            if (value >= minimum && value <= maximum) {
                return value;
            }
        } catch (NumberFormatException _exception) {
            // Reported below with the same expectation as a number out of range.
        }
        report(describe(), expected);
        return defaultValue;
    }

    private double numberInRange(double defaultValue, double minimum, double maximum) {
        try {
            double value = Double.parseDouble(text());
            if (value >= minimum && value <= maximum) {
                return value;
            }
        } catch (NumberFormatException _exception) {
            // Reported below with the same expectation as a number out of range.
        }
        report(describe(), "a number from " + minimum + " to " + maximum);
        return defaultValue;
    }

    private YamlCursor cursorAt(Node child) {
        return new YamlCursor(file, child, findings);
    }

    private static String scalar(Node candidate) {
        return candidate instanceof ScalarNode scalar ? scalar.getValue() : "";
    }

    private static List<String> sorted(Set<String> names) {
        return names.stream().sorted().toList();
    }

    private static Optional<String> nearest(String value, List<String> known) {
        LevenshteinDistance distance = new LevenshteinDistance(MAX_NEAR_MATCH_EDITS);
        return known.stream()
                .filter(candidate -> distance.apply(value, candidate) >= 0)
                .min(java.util.Comparator.comparing(candidate -> distance.apply(value, candidate)));
    }

    /** A key of a mapping, the place where it stands, and its value. */
    record Entry(String key, YamlCursor keyCursor, YamlCursor value) {}
}
