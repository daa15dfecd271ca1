package org.wasabilug.scenarios.internal.coverage;

/** How a failure occurs in a scenario, and the tag of such scenarios. */
public enum Occurrence {
    /** Without another failure. */
    ALONE("@alone", "a"),
    /** A second time after it has ended. */
    TWICE("@twice", "tw"),
    /** At the same time as another failure. */
    TOGETHER("@together", "to");

    private final String mTag;
    private final String mAbbreviation;

    Occurrence(String tag, String abbreviation) {
        mTag = tag;
        mAbbreviation = abbreviation;
    }

    /**
     * Returns the tag of the scenarios in which a failure occurs this way.
     *
     * @return the tag, including the leading @
     */
    public String tag() {
        return mTag;
    }

    /**
     * Returns the abbreviation used in the table.
     *
     * @return one or two letters
     */
    public String abbreviation() {
        return mAbbreviation;
    }
}
