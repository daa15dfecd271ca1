package org.wasabilug.internal.routing;

/** Outcome of an attempt as seen by the router. */
public enum AttemptEnd {
    /** The result is complete. */
    SUCCEEDED,
    /** The instance cancelled the attempt, which is no evidence about the endpoint. */
    CANCELLED,
    /** The endpoint refused the call for lack of capacity. */
    OVERLOADED,
    /** The call was invalid, which is no evidence about the endpoint. */
    REJECTED,
    /** The endpoint failed, was lost or could not be reached. */
    FAILED,
    /** The endpoint did not finish in time. */
    TIMED_OUT
}
