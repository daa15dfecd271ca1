package org.wasabilug.operator;

/** Exit codes of {@code wasabilug-operator}. */
public enum ExitCode {
    /** The command succeeded. */
    DONE(0, "the command succeeded"),
    /** An instance refused the request, or the named object does not exist. */
    REFUSED(1, "an instance refused the request, or the object does not exist"),
    /** A flag, a variable or a file is invalid; nothing was sent. */
    INVALID_USE(2, "a flag, a variable or a file is invalid; nothing was sent"),
    /** No instance could be reached. */
    UNREACHABLE(3, "no instance could be reached"),
    /** It is unknown whether a ticket was accepted; the same command may safely be repeated. */
    OUTCOME_UNKNOWN(4, "it is unknown whether the ticket was accepted; run the same command again");

    private final int mNumber;
    private final String mMeaning;

    ExitCode(int number, String meaning) {
        mNumber = number;
        mMeaning = meaning;
    }

    /**
     * Returns the exit code of the process.
     *
     * @return 0 to 4
     */
    public int number() {
        return mNumber;
    }

    /**
     * Returns a short description.
     *
     * @return text that help and documentation show beside the number
     */
    public String meaning() {
        return mMeaning;
    }
}
