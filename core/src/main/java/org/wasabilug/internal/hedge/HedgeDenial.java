package org.wasabilug.internal.hedge;

/** Why a request that takes long is not hedged. */
public enum HedgeDenial {
    /** The hedges that this instance's first sends allow are used up. */
    SHARE_USED,
    /** The request would hardly end before its deadline at another endpoint. */
    DEADLINE_NEAR,
    /** No other endpoint may receive the request now. */
    NO_ENDPOINT,
    /** The endpoints of the service have no free slots to spare. */
    ENDPOINTS_FULL,
    /** The first endpoint is expected to respond sooner than another one. */
    NOT_SOONER,
    /** The request counts as a cause of crashes. */
    CRASH_SUSPECT,
    /** Half of the retry budget, which is kept for failures, is all that is left. */
    RETRY_BUDGET
}
