package io.heatherloft.cli;

/** Thrown if a command fails. Holds the exit code of the process and the message for the operator. */
public final class CommandException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    /** Creates an exception with the exit code of the process. */
    public CommandException(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    public ExitCode exitCode() {
        return exitCode;
    }
}
