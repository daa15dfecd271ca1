package org.wasabilug.error;

/** Base class of all exceptions that the system throws deliberately. */
public class WasabilugException extends RuntimeException {
    private final ErrorCode mCode;

    /**
     * Creates the exception; use {@link Reporter} instead of calling this.
     *
     * @param code stable code
     * @param message description of what happened, why, and what to do next
     */
    public WasabilugException(ErrorCode code, String message) {
        super(message);
        mCode = code;
    }

    /**
     * Creates the exception with its cause; use {@link Reporter} instead of calling this.
     *
     * @param code stable code
     * @param message description of what happened, why, and what to do next
     * @param cause underlying cause
     */
    public WasabilugException(ErrorCode code, String message, Throwable cause) {
        super(message, cause);
        mCode = code;
    }

    /** Returns the stable error code. */
    public ErrorCode code() {
        return mCode;
    }
}
