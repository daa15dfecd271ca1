package org.wasabilug.internal.rollout;

/** Kinds of sends to a service. */
public enum SendKind {
    /** The first send of a request. */
    FIRST,
    /** A retry, a hedged request, or the resumption of a stream. */
    FURTHER
}
