package org.wasabilug.error;

/** Base of every exception that the system throws on purpose. */
public class WasabilugException extends RuntimeException {
    private final ErrorCode mCode;

    /**
     * Creates the exception; use {@link Reporter} instead of calling this.
     *
     * @param code stable code
     * @param message what happened, why, and what to do next
     */
    public WasabilugException(ErrorCode code, String message) {
        super(message);
        mCode = code;
    }

    /**
     * Creates the exception with its cause; use {@link Reporter} instead of calling this.
     *
     * @param code stable code
     * @param message what happened, why, and what to do next
     * @param cause what led to it
     */
    public WasabilugException(ErrorCode code, String message, Throwable cause) {
        super(message, cause);
        mCode = code;
    }

    /**
     * Stable code for programs.
     *
     * @return the code
     */
    public ErrorCode code() {
        return mCode;
    }
}
