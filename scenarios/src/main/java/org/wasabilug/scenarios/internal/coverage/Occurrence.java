package org.wasabilug.scenarios.internal.coverage;

/** How a failure comes, with the tag of the scenarios in which it comes so. */
public enum Occurrence {
    /** By itself. */
    ALONE("@alone", "a"),
    /** Once more after it has ended. */
    TWICE("@twice", "tw"),
    /** With another failure. */
    TOGETHER("@together", "to");

    private final String mTag;
    private final String mAbbreviation;

    Occurrence(String tag, String sign) {
        mTag = tag;
        mAbbreviation = sign;
    }

    /**
     * Tag of the scenarios in which a failure comes so.
     *
     * @return the tag, with its sign
     */
    public String tag() {
        return mTag;
    }

    /**
     * Short sign in the table.
     *
     * @return one or two letters
     */
    public String abbreviation() {
        return mAbbreviation;
    }
}
