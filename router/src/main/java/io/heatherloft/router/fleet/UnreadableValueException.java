package io.heatherloft.router.fleet;

/** A stored value that is not in the form that its key promises. */
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
