package io.heatherloft.cli;

/** A command that cannot be carried out; carries the exit code and what to tell the operator. */
public final class CommandException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    /** Creates a failure. */
    public CommandException(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    /** Returns the exit code. */
    public ExitCode exitCode() {
        return exitCode;
    }
}
