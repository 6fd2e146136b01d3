package io.heatherloft.router.fleet;

/** Thrown when a stored value cannot be parsed in the format of its key. */
public final class UnreadableValueException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception that says what was found and what was expected. */
    public UnreadableValueException(String message) {
        super(message);
    }

    /** Creates an exception that says what was found and what was expected. */
    public UnreadableValueException(String message, Throwable cause) {
        super(message, cause);
    }
}
