package org.wasabilug.internal.rollout;

/** Verdict on a software version. */
public enum RolloutVerdict {
    /** There are too few responses, or they are suspect. */
    UNDECIDED,
    /** The version may get all traffic. */
    GOOD,
    /** The version must get no traffic. */
    BAD
}
