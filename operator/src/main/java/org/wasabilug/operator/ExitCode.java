package org.wasabilug.operator;

/** Exit codes of the operators' command. */
public enum ExitCode {
    /** What was asked for was done. */
    DONE(0, "what was asked for was done"),
    /** An instance refused it, or there is no such thing. */
    REFUSED(1, "an instance refused it, or there is no such thing"),
    /** Flags, variables or a file have faults; nothing was sent. */
    INVALID_USE(2, "flags, variables or a file have faults; nothing was sent"),
    /** No instance could be reached. */
    UNREACHABLE(3, "no instance could be reached"),
    /** Whether a ticket was accepted can't be known; the same command may be given again. */
    OUTCOME_UNKNOWN(4, "whether the ticket was accepted can't be known; give the command again");

    private final int mNumber;
    private final String mMeaning;

    ExitCode(int number, String meaning) {
        mNumber = number;
        mMeaning = meaning;
    }

    /**
     * The number that the process returns.
     *
     * @return 0 to 4
     */
    public int number() {
        return mNumber;
    }

    /**
     * What it means.
     *
     * @return words for help and documentation
     */
    public String meaning() {
        return mMeaning;
    }
}
