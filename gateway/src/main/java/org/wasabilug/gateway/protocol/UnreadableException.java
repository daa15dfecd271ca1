package org.wasabilug.gateway.protocol;

/** Bytes of another program don't have the expected form. */
public final class UnreadableException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Makes an exception.
     *
     * @param message what was expected and what was found
     */
    public UnreadableException(String message) {
        super(message);
    }

    /**
     * Makes an exception with a cause.
     *
     * @param message what was expected and what was found
     * @param cause what the reader of the format said
     */
    public UnreadableException(String message, Throwable cause) {
        super(message, cause);
    }
}
