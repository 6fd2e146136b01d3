package io.heatherloft.domain.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Turns a set of YAML files into a {@link Configuration}, or into every finding of the set.
 *
 * <p>Invariant: a configuration is produced only if there is no finding in any file. Confined to one thread while it
 * parses; {@link #parse} itself keeps nothing between calls. Example:
 *
 * <pre>{@code
 * ParseResult result = ConfigurationParser.parse(List.of(new ConfigurationFile("a.yaml", "models: []")));
 * result.findings().forEach(System.out::println);
 * }</pre>
 */
public final class ConfigurationParser {
    private static final int SHA256_HEX_LENGTH = 64;
    private static final int DEFAULT_MAX_IN_FLIGHT = 64;
    private static final int DEFAULT_MAX_QUEUED = 128;
    private static final int DEFAULT_MAX_BODY_BYTES = 262_144;
    private static final int MAX_BODY_BYTES_CEILING = 16_777_216;
    private static final int COUNT_CEILING = 1_000_000;
    private static final long PRICE_CEILING_MICROS = 1_000_000_000L;
    private static final long DEFAULT_DEADLINE_MILLIS = 120_000L;
    private static final long DEFAULT_SERVICE_TIMEOUT_MILLIS = 10_000L;
    private static final long DURATION_CEILING_MILLIS = 604_800_000L;
    private static final long DEADLINE_CEILING_MILLIS = 240_000L;
    private static final int NORMAL_PRIORITY = 1;
    private static final int HIGHEST_PRIORITY = 2;
    private static final double DEFAULT_QUALITY_TARGET = 0.8;

    private final List<Finding> findings = new ArrayList<>();
    private final Map<String, Model> models = new LinkedHashMap<>();
    private final Map<String, Pool> pools = new LinkedHashMap<>();
    private final Map<String, Cascade> cascades = new LinkedHashMap<>();
    private final Map<String, PlainService> services = new LinkedHashMap<>();
    private final Map<String, Rollout> rollouts = new LinkedHashMap<>();
    private final Map<String, Workspace> workspaces = new LinkedHashMap<>();
    private final Map<String, String> workspaceByKeyDigest = new HashMap<>();

    private ConfigurationParser() {}

    /** Parses a whole set of files. */
    public static ParseResult parse(List<ConfigurationFile> files) {
        ConfigurationParser parser = new ConfigurationParser();
        List<YamlCursor> documents = files.stream()
                .flatMap(file -> YamlCursor.compose(file, parser.findings).stream())
                .toList();
        // References point backwards through this order, so each section finds its targets read.
        documents.forEach(parser::readPools);
        documents.forEach(parser::readModels);
        documents.forEach(parser::readCascades);
        documents.forEach(parser::readServices);
        documents.forEach(parser::readRollouts);
        documents.forEach(parser::readWorkspaces);
        documents.forEach(YamlCursor::rejectUnknownKeys);
        return parser.result();
    }

    private ParseResult result() {
        if (!findings.isEmpty()) {
            return new ParseResult(Optional.empty(), List.copyOf(findings));
        }
        Configuration configuration = new Configuration(
                Map.copyOf(workspaces),
                Map.copyOf(models),
                Map.copyOf(cascades),
                Map.copyOf(pools),
                Map.copyOf(services),
                Map.copyOf(rollouts),
                Map.copyOf(workspaceByKeyDigest));
        return new ParseResult(Optional.of(configuration), List.of());
    }

    private void readPools(YamlCursor document) {
        document.elements("pools").forEach(entry -> {
            Pool pool = new Pool(
                    entry.requiredText("name"),
                    (int) entry.wholeNumber("max-in-flight-per-server", DEFAULT_MAX_IN_FLIGHT, 1, COUNT_CEILING),
                    entry.flag("checks-fencing", false));
            entry.rejectUnknownKeys();
            addUnique(pools, pool.name(), pool, entry);
        });
    }

    private void readModels(YamlCursor document) {
        document.elements("models").forEach(entry -> {
            String name = entry.requiredText("name");
            Map<String, Model.Version> versions = new LinkedHashMap<>();
            List<YamlCursor> versionEntries = entry.elements("versions");
            versionEntries.forEach(versionEntry -> {
                Model.Version version = readVersion(versionEntry);
                addUnique(versions, version.name(), version, versionEntry);
            });
            versionEntries.forEach(versionEntry -> versionEntry
                    .child("successor")
                    .ifPresent(successor -> requireKnown(successor, versions.keySet(), "a version of this model")));
            if (versions.isEmpty()) {
                entry.report(name, "at least one version under 'versions'");
            }
            entry.rejectUnknownKeys();
            addUnique(models, name, new Model(name, List.copyOf(versions.values())), entry);
        });
    }

    private Model.Version readVersion(YamlCursor entry) {
        String name = entry.requiredText("name");
        String pool = requiredReference(entry, "pool", pools.keySet(), "a declared pool");
        Model.TokenPrice price = new Model.TokenPrice(
                entry.wholeNumber("input-micros-per-thousand-tokens", 0, 0, PRICE_CEILING_MICROS),
                entry.wholeNumber("output-micros-per-thousand-tokens", 0, 0, PRICE_CEILING_MICROS));
        boolean withdrawn = entry.child("state")
                .map(state -> YamlCursor.oneOf(state, List.of("active", "withdrawn")))
                .map("withdrawn"::equals)
                .orElse(false);
        Optional<String> successor = entry.child("successor").map(YamlCursor::text);
        entry.rejectUnknownKeys();
        return new Model.Version(name, pool, price, withdrawn, successor);
    }

    private void readCascades(YamlCursor document) {
        document.elements("cascades").forEach(entry -> {
            String name = entry.requiredText("name");
            List<YamlCursor> steps = entry.elements("steps");
            steps.forEach(step -> requireKnown(step, models.keySet(), "a declared model"));
            if (steps.isEmpty()) {
                entry.report(name, "at least one model under 'steps'");
            }
            Cascade cascade = new Cascade(
                    name,
                    steps.stream().map(YamlCursor::text).toList(),
                    entry.number("quality-target", DEFAULT_QUALITY_TARGET, 0, 1),
                    entry.wholeNumber("deadline-millis", DEFAULT_DEADLINE_MILLIS, 1, DEADLINE_CEILING_MILLIS),
                    (int) entry.wholeNumber("priority", NORMAL_PRIORITY, 0, HIGHEST_PRIORITY));
            entry.rejectUnknownKeys();
            addUnique(cascades, name, cascade, entry);
        });
    }

    private void readServices(YamlCursor document) {
        document.elements("services").forEach(entry -> {
            List<PlainService.IdempotentPath> paths = entry.elements("idempotent-paths").stream()
                    .map(this::readIdempotentPath)
                    .toList();
            PlainService service = new PlainService(
                    entry.requiredText("name"),
                    requiredReference(entry, "pool", pools.keySet(), "a declared pool"),
                    entry.wholeNumber("price-micros-per-call", 0, 0, PRICE_CEILING_MICROS),
                    entry.wholeNumber("timeout-millis", DEFAULT_SERVICE_TIMEOUT_MILLIS, 1, DURATION_CEILING_MILLIS),
                    paths);
            entry.rejectUnknownKeys();
            addUnique(services, service.name(), service, entry);
        });
    }

    private PlainService.IdempotentPath readIdempotentPath(YamlCursor entry) {
        PlainService.IdempotentPath path =
                new PlainService.IdempotentPath(entry.requiredText("method"), entry.requiredText("path"));
        entry.rejectUnknownKeys();
        return path;
    }

    private void readRollouts(YamlCursor document) {
        document.elements("rollouts").forEach(entry -> {
            String model = requiredReference(entry, "model", models.keySet(), "a declared model");
            Set<String> versions = versionNames(model);
            Rollout rollout = new Rollout(
                    model,
                    requiredReference(entry, "from", versions, "a version of the model"),
                    requiredReference(entry, "to", versions, "a version of the model"),
                    (int) entry.wholeNumber("share-percent", 0, 0, 100));
            entry.rejectUnknownKeys();
            addUnique(rollouts, model, rollout, entry);
        });
    }

    private void readWorkspaces(YamlCursor document) {
        document.elements("workspaces").forEach(entry -> {
            String name = entry.requiredText("name");
            Set<String> digests = entry.elements("key-digests").stream()
                    .map(digest -> readKeyDigest(digest, name))
                    .collect(Collectors.toUnmodifiableSet());
            List<Workspace.Grant> grants =
                    entry.elements("models").stream().map(this::readGrant).toList();
            Map<String, String> classes =
                    entry.child("classes").map(this::readClasses).orElseGet(Map::of);
            List<YamlCursor> serviceEntries = entry.elements("services");
            serviceEntries.forEach(service -> requireKnown(service, services.keySet(), "a declared service"));
            Workspace workspace = new Workspace(
                    name,
                    digests,
                    grants,
                    classes,
                    serviceEntries.stream().map(YamlCursor::text).collect(Collectors.toUnmodifiableSet()),
                    readLimits(entry),
                    readWithdrawnSession(entry));
            entry.rejectUnknownKeys();
            addUnique(workspaces, name, workspace, entry);
        });
    }

    private Workspace.Limits readLimits(YamlCursor entry) {
        Workspace.Limits defaults =
                new Workspace.Limits(DEFAULT_MAX_IN_FLIGHT, DEFAULT_MAX_QUEUED, DEFAULT_MAX_BODY_BYTES, 1);
        return entry.child("limits")
                .map(limits -> {
                    Workspace.Limits read = new Workspace.Limits(
                            (int) limits.wholeNumber("max-in-flight", defaults.maxInFlight(), 1, COUNT_CEILING),
                            (int) limits.wholeNumber("max-queued", defaults.maxQueued(), 0, COUNT_CEILING),
                            (int) limits.wholeNumber(
                                    "max-body-bytes", defaults.maxBodyBytes(), 1, MAX_BODY_BYTES_CEILING),
                            (int) limits.wholeNumber("weight", defaults.weight(), 1, COUNT_CEILING));
                    limits.rejectUnknownKeys();
                    return read;
                })
                .orElse(defaults);
    }

    private static Workspace.WithdrawnSessionPolicy readWithdrawnSession(YamlCursor entry) {
        return entry.child("withdrawn-session")
                .map(value -> YamlCursor.oneOf(value, List.of("refuse", "successor")))
                .map(value -> value.equals("successor")
                        ? Workspace.WithdrawnSessionPolicy.SUCCESSOR
                        : Workspace.WithdrawnSessionPolicy.REFUSE)
                .orElse(Workspace.WithdrawnSessionPolicy.REFUSE);
    }

    private String readKeyDigest(YamlCursor entry, String workspace) {
        String digest = entry.text();
        if (digest.length() != SHA256_HEX_LENGTH || !digest.matches("[0-9a-f]+")) {
            entry.report("(digest of " + digest.length() + " characters)", "64 lower-case hexadecimal digits");
        }
        String earlier = workspaceByKeyDigest.putIfAbsent(digest, workspace);
        if (earlier != null) {
            entry.report("(digest)", "a key that workspace '" + earlier + "' does not have already");
        }
        return digest;
    }

    private Workspace.Grant readGrant(YamlCursor entry) {
        String model = requiredReference(entry, "model", models.keySet(), "a declared model");
        Optional<Set<String>> versions = entry.child("versions").map(_present -> {
            List<YamlCursor> names = entry.elements("versions");
            names.forEach(version -> requireKnown(version, versionNames(model), "a version of the model"));
            return names.stream().map(YamlCursor::text).collect(Collectors.toUnmodifiableSet());
        });
        entry.rejectUnknownKeys();
        return new Workspace.Grant(model, versions);
    }

    private Map<String, String> readClasses(YamlCursor entry) {
        Map<String, String> classes = new LinkedHashMap<>();
        entry.entries().forEach(pair -> {
            requireKnown(pair.value(), cascades.keySet(), "a declared cascade");
            addUnique(classes, pair.key(), pair.value().text(), pair.keyCursor());
            if (models.containsKey(pair.key())) {
                pair.keyCursor().report(pair.key(), "a class name that is not the name of a model");
            }
        });
        return Map.copyOf(classes);
    }

    private Set<String> versionNames(String model) {
        return Optional.ofNullable(models.get(model))
                .map(found -> found.versions().stream().map(Model.Version::name).collect(Collectors.toSet()))
                .orElseGet(HashSet::new);
    }

    private static String requiredReference(YamlCursor entry, String key, Set<String> known, String expected) {
        Optional<YamlCursor> child = entry.child(key);
        child.ifPresent(value -> requireKnown(value, known, expected));
        return child.map(YamlCursor::text).orElseGet(() -> entry.requiredText(key));
    }

    private static void requireKnown(YamlCursor value, Set<String> known, String expected) {
        String text = value.text();
        if (!known.contains(text)) {
            value.reportUnknown(text, expected, known.stream().sorted().toList());
        }
    }

    private static <T> void addUnique(Map<String, T> target, String name, T part, YamlCursor place) {
        if (target.putIfAbsent(name, part) != null) {
            place.report(name, "a name that is declared only once");
        }
    }

    /**
     * What became of a set of files.
     *
     * @param configuration present if and only if there is no finding
     */
    public record ParseResult(Optional<Configuration> configuration, List<Finding> findings) {}
}
