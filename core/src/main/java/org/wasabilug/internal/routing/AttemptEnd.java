package org.wasabilug.internal.routing;

/** How an attempt ended, as the router counts it. */
public enum AttemptEnd {
    /** The result is complete. */
    SUCCEEDED,
    /** The instance cancelled it; says nothing of the endpoint. */
    CANCELLED,
    /** The endpoint had no room. */
    OVERLOADED,
    /** The call was wrong; says nothing of the endpoint. */
    REJECTED,
    /** The endpoint failed, was lost or could not be reached. */
    FAILED,
    /** The endpoint was too slow. */
    TIMED_OUT
}
