package io.heatherloft.cli;

/** Exit codes of {@code heatherloft}. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0, "success"),
    /** The arguments are invalid, or a file or directory that they name cannot be read. */
    USAGE(2, "invalid arguments"),
    /** The configuration files are invalid; nothing was written. */
    INVALID_FILES(3, "the configuration files are invalid; nothing was written"),
    /** Another generation than the expected one is in force; nothing was applied. */
    CONFLICT(4, "another generation is in force; the configuration was not applied"),
    /** The key-value service or a host does not respond; nothing was applied. */
    UNAVAILABLE(5, "the key-value service or a host does not respond; nothing was applied"),
    /** The response to the write was lost; the audit trail shows whether the configuration is in force. */
    UNKNOWN(6, "the response was lost; the audit trail shows whether the configuration is in force"),
    /** The requested item does not exist. */
    NOT_FOUND(7, "not found");

    private final int value;
    private final String meaning;

    ExitCode(int value, String meaning) {
        this.value = value;
        this.meaning = meaning;
    }

    /** Returns the numeric exit code of the process. */
    public int value() {
        return value;
    }

    /** Returns the description that the help text shows for this exit code. */
    public String meaning() {
        return meaning;
    }
}
