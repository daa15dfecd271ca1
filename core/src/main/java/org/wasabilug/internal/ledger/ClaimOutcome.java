package org.wasabilug.internal.ledger;

/** Outcome of a claim to run an at-most-once stage. */
public sealed interface ClaimOutcome {
    /** This instance holds the claim; it alone may dispatch the stage, once. */
    record Granted() implements ClaimOutcome {}

    /**
     * The stage has already run.
     *
     * @param result the recorded result
     */
    record Recorded(String result) implements ClaimOutcome {}

    /** Another attempt holds the claim without a recorded result; claims are never taken over. */
    record HeldElsewhere() implements ClaimOutcome {}

    /** The request id was used before with other content. */
    record ContentDiffers() implements ClaimOutcome {}

    /** The claim was certainly not made, so nothing was dispatched under it. */
    record NotClaimed() implements ClaimOutcome {}

    /** It is unknown whether the claim was made; the stage must not be dispatched. */
    record Unknown() implements ClaimOutcome {}
}
