package org.wasabilug.scenarios.internal.coverage;

/** A line of what must always hold, with the tag of the scenarios that check it. */
public enum Invariant {
    /** Results are neither lost, doubled nor given to another request. */
    RESULTS("@holds-results", "No stage result is lost, doubled or given to another request"),
    /** Cold starts are not overloaded. */
    COLD("@holds-cold", "An endpoint in cold start gets no more work than it can bear"),
    /** A domain that was taken out gets no new work. */
    OUT("@holds-out", "A failure domain that was taken out gets no new work"),
    /** Answers are whole. */
    WHOLE("@holds-whole", "A caller gets the whole answer to its own request"),
    /** Refusals are true. */
    NOT_RUN("@holds-not-run", "A refusal that says \"not run\" is true"),
    /** What may not be repeated runs at most once. */
    ONCE("@holds-once", "A request that may not be repeated runs at most once"),
    /** A leaving endpoint gets no new work. */
    LEAVING("@holds-leaving", "A leaving endpoint gets no new work"),
    /** A planned stop cuts no request. */
    STOP("@holds-stop", "A planned stop cuts no request"),
    /** An accepted configuration is in force everywhere and never reverts. */
    CONFIGURATION("@holds-configuration", "An accepted configuration is in force, for good"),
    /** Content that crashes endpoints is stopped. */
    CRASHING_CONTENT("@holds-crashing-content", "A crashing request reaches no third endpoint");

    private final String mTag;
    private final String mTitle;

    Invariant(String tag, String title) {
        mTag = tag;
        mTitle = title;
    }

    /**
     * Tag of the scenarios that check it.
     *
     * @return the tag, with its sign
     */
    public String tag() {
        return mTag;
    }

    /**
     * Title for people.
     *
     * @return one line
     */
    public String title() {
        return mTitle;
    }
}
