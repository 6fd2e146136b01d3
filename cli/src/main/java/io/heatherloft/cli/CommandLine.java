package io.heatherloft.cli;

import io.heatherloft.cli.logs.FleetTimeline;
import io.heatherloft.cli.logs.LogReader;
import io.heatherloft.cli.logs.LogResultPrinter;
import io.heatherloft.cli.logs.RequestTrace;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.Argument;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * Parses the arguments of {@code heatherloft} and runs the command.
 *
 * <p>Example: {@code new CommandLine(System.out, System.err).run("validate", "examples/badvakt")}. Invariant: results
 * go to the first stream, errors and progress messages to the second. Confined to one thread.
 */
public final class CommandLine {
    private static final String DEFAULT_STORE_URL = "http://127.0.0.1:2379";
    private static final String DEFAULT_OPERATIONS_URL = "http://127.0.0.1:8081";

    private final PrintStream out;
    private final PrintStream err;
    private final ArgumentParser parser = createParser();

    /** Creates a command line that prints results to one stream and errors to the other. */
    public CommandLine(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /** Runs a command and returns its exit code. */
    public ExitCode run(String... arguments) {
        try {
            execute(parser.parseArgs(arguments));
            return ExitCode.OK;
        } catch (HelpScreenException _exception) {
            return ExitCode.OK;
        } catch (ArgumentParserException exception) {
            err.println("heatherloft: " + exception.getMessage());
            err.println(exception.getParser().formatUsage().trim());
            return ExitCode.USAGE;
        } catch (CommandException exception) {
            err.println(exception.getMessage());
            return exception.exitCode();
        }
    }

    private void execute(Namespace parsed) {
        String command = parsed.getString("command");
        ResultPrinter output = new ResultPrinter(out, parsed.getString("output").equals("json"));
        if (command.equals("validate")) {
            output.printValidation(ConfigurationFileSet.read(Path.of(parsed.getString("directory"))));
            return;
        }
        List<Path> logs = logFiles(parsed);
        if (!logs.isEmpty()) {
            executeOnLogs(command, parsed, logs);
            return;
        }
        try (PlatformClient client = PlatformClient.open(parsed.getString("store"))) {
            execute(command, parsed, new Commands(client), output);
        }
    }

    private static List<Path> logFiles(Namespace parsed) {
        List<String> files = parsed.getList("logs");
        return files == null ? List.of() : files.stream().map(Path::of).toList();
    }

    private void executeOnLogs(String command, Namespace parsed, List<Path> logs) {
        LogReader reader = new LogReader(err);
        LogResultPrinter output =
                new LogResultPrinter(out, parsed.getString("output").equals("json"));
        if (command.equals("timeline")) {
            FleetTimeline timeline = new FleetTimeline();
            reader.read(logs, timeline::accept);
            output.printTimeline(timeline);
            return;
        }
        String requestId = parsed.getString("request");
        RequestTrace trace = new RequestTrace(requestId);
        reader.read(logs, trace::accept);
        if (trace.steps().isEmpty()) {
            throw new CommandException(
                    ExitCode.NOT_FOUND,
                    requestId + ": no log line of this request in " + logs.size() + " files ("
                            + reader.linesDroppedByHosts() + " lines dropped by hosts, " + reader.malformedLines()
                            + " malformed)");
        }
        output.printTrace(requestId, trace);
    }

    private static void execute(String command, Namespace parsed, Commands commands, ResultPrinter output) {
        switch (command) {
            case "diff" -> output.printDiff(commands.diff(Path.of(parsed.getString("directory"))));
            case "apply" -> output.printApplied(commands.apply(
                    Path.of(parsed.getString("directory")), parsed.getString("operator"), baseGeneration(parsed)));
            case "show" -> {
                if (parsed.getString("what").equals("bills")) {
                    output.printBills(commands.bills());
                } else {
                    output.printConfiguration(commands.show());
                }
            }
            case "audit" -> output.printAuditTrail(commands.audit());
            case "status" -> output.printStatus(commands.status(parsed.getString("host")));
            case "explain" -> output.printExplanation(
                    commands.explain(parsed.getString("host"), parsed.getString("request")));
            default -> throw new IllegalStateException("command without an implementation: " + command);
        }
    }

    private static OptionalLong baseGeneration(Namespace parsed) {
        return Optional.ofNullable(parsed.getLong("base")).map(OptionalLong::of).orElseGet(OptionalLong::empty);
    }

    private static ArgumentParser createParser() {
        String exitCodes = Arrays.stream(ExitCode.values())
                .map(code -> code.value() + " " + code.meaning())
                .collect(Collectors.joining("; "));
        ArgumentParser parser = ArgumentParsers.newFor("heatherloft")
                .build()
                .defaultHelp(true)
                .description("Validates configuration files, applies them to the fleet as one generation, "
                        + "and shows the state and the decisions of the hosts.")
                .epilog("Exit codes: " + exitCodes + ".");
        parser.addArgument("--store")
                .metavar("URL")
                .setDefault(DEFAULT_STORE_URL)
                .help("URL of the key-value service that stores the configuration");
        parser.addArgument("--host")
                .metavar("URL")
                .setDefault(DEFAULT_OPERATIONS_URL)
                .help("operations URL of any host, for 'status' and 'explain'");
        parser.addArgument("--output")
                .choices("text", "json")
                .setDefault("text")
                .help("output format");
        Subparsers commands = parser.addSubparsers().dest("command").metavar("COMMAND");
        addDirectoryArgument(commands.addParser("validate")
                .help("check the configuration files in a directory and report all findings"));
        addDirectoryArgument(commands.addParser("diff").help("show what applying a directory would change"));
        Subparser apply = addDirectoryArgument(
                commands.addParser("apply").help("apply all files of a directory as one generation"));
        apply.addArgument("--operator")
                .setDefault(System.getProperty("user.name", "unknown"))
                .help("operator name to record in the audit trail");
        apply.addArgument("--base")
                .type(Long.class)
                .metavar("GENERATION")
                .help("apply only if this generation is in force; 'diff' shows the generation");
        Subparser show = commands.addParser("show").help("show the configuration in force or the billed amounts");
        show.addArgument("what").choices("configuration", "bills").nargs("?").setDefault("configuration");
        commands.addParser("status").help("show the state of the fleet as a host sees it");
        commands.addParser("audit").help("show the history of configuration changes");
        Subparser explain =
                commands.addParser("explain").help("show the decisions made for a request and the reasons for them");
        explain.addArgument("request")
                .metavar("REQUEST-ID")
                .help("value of the Heatherloft-Request header of the response");
        addLogsArgument(explain).help("log files of hosts to read instead of querying a host");
        Subparser timeline =
                commands.addParser("timeline").help("show from log files when each host learned of each change");
        addLogsArgument(timeline)
                .required(true)
                .help("log files of the hosts; the lines of each host must be in the order in which it wrote them");
        return parser;
    }

    private static Argument addLogsArgument(Subparser command) {
        return command.addArgument("--logs").nargs("+").metavar("FILE");
    }

    private static Subparser addDirectoryArgument(Subparser command) {
        command.addArgument("directory").metavar("DIRECTORY").help("directory that contains the .yaml files");
        return command;
    }
}
