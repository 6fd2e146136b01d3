package io.heatherloft.cli;

/** Exit codes of the command line. */
public enum ExitCode {
    /** Done. */
    OK(0, "done"),
    /** The command line is wrong. */
    USAGE(2, "wrong arguments"),
    /** The files have findings; nothing was written. */
    INVALID_FILES(3, "the files have findings; nothing was written"),
    /** Another operator's generation stands; nothing was applied. */
    CONFLICT(4, "another generation stands; nothing of yours was applied"),
    /** The platform or a host does not answer; nothing was applied. */
    UNAVAILABLE(5, "the platform or a host does not answer; nothing was applied"),
    /** The answer was lost; look at the audit trail. */
    UNKNOWN(6, "the answer was lost; the audit trail tells whether it is in force"),
    /** There is nothing of that name. */
    NOT_FOUND(7, "nothing of that name");

    private final int value;
    private final String meaning;

    ExitCode(int value, String meaning) {
        this.value = value;
        this.meaning = meaning;
    }

    /** Returns the process's exit code. */
    public int value() {
        return value;
    }

    /** Returns what it means, for the help text. */
    public String meaning() {
        return meaning;
    }
}
