package org.wasabilug.error;

/** Words every exception and refusal of the system. */
public final class Reporter {
    private Reporter() {}

    /**
     * A name breaks the rules for names.
     *
     * @param kind what is named
     * @param value the name, may be null
     * @return the exception to throw
     */
    public static WasabilugException invalidName(String kind, String value) {
        return new WasabilugException(
                ErrorCode.INVALID_NAME,
                "The "
                        + kind
                        + " '"
                        + value
                        + "' is not a valid name. Use 1 to 100 letters, digits, dots, underscores"
                        + " or hyphens.");
    }

    /**
     * A state that only a defect of the system can bring about.
     *
     * @param detail what was seen
     * @return the exception to throw
     */
    public static WasabilugException defect(String detail) {
        return new WasabilugException(
                ErrorCode.INTERNAL,
                "The system reached a state that it should never reach: "
                        + detail
                        + ". Please report it with the log lines around it.");
    }
}
