package io.heatherloft.cli;

/** Entry point of {@code heatherloft}; exits with the codes of {@link ExitCode}. */
public final class CommandLineMain {
    private CommandLineMain() {}

    /** Runs one command. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(System.out, System.err).run(arguments).value());
    }
}
