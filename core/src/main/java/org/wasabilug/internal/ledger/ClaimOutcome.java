package org.wasabilug.internal.ledger;

/** What became of a claim to run a stage that may not be repeated. */
public sealed interface ClaimOutcome {
    /** The claim is this instance's; it alone may dispatch, once. */
    record Granted() implements ClaimOutcome {}

    /**
     * The stage ran before.
     *
     * @param result its recorded result
     */
    record Recorded(String result) implements ClaimOutcome {}

    /** Another attempt holds the claim and has not recorded a result; it is never taken over. */
    record HeldElsewhere() implements ClaimOutcome {}

    /** The same request id was used with other content. */
    record ContentDiffers() implements ClaimOutcome {}

    /** The claim was certainly not made; nothing was dispatched under it. */
    record NotClaimed() implements ClaimOutcome {}

    /** Whether the claim was made can't be known now; it must not be dispatched. */
    record Unknown() implements ClaimOutcome {}
}
