package org.wasabilug.model;

/** What an endpoint does with an order that carries an old fencing number. */
public enum FencingBehaviour {
    /** The endpoint refuses the order. */
    CHECKS,
    /** The endpoint carries the order out all the same. */
    IGNORES
}
