package org.wasabilug.model;

/** How an endpoint handles an order with a stale fencing number. */
public enum FencingBehaviour {
    /** The endpoint rejects the order. */
    CHECKS,
    /** The endpoint executes the order anyway. */
    IGNORES
}
