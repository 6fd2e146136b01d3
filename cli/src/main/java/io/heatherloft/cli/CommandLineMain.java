package io.heatherloft.cli;

/** Entry point of {@code heatherloft}; exits with a code of {@link ExitCode}. */
public final class CommandLineMain {
    private CommandLineMain() {}

    /** Runs one command and exits. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(System.out, System.err).run(arguments).value());
    }
}
