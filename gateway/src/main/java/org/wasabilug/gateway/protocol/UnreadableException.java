package org.wasabilug.gateway.protocol;

/** Thrown if data received from another program does not have the expected format. */
public final class UnreadableException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what was expected and what was found
     */
    public UnreadableException(String message) {
        super(message);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param message what was expected and what was found
     * @param cause error of the parser
     */
    public UnreadableException(String message, Throwable cause) {
        super(message, cause);
    }
}
