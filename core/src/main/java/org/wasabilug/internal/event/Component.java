package org.wasabilug.internal.event;

/** Parts of an instance that ask the platform for something. */
public enum Component {
    /** At-most-once ledger. */
    LEDGER,
    /** Session lease. */
    LEASE,
    /** Cold-start grants. */
    GRANTS,
    /** Configuration feed. */
    FEED,
    /** Acceptance of tickets. */
    TICKETS,
    /** Orders to engines. */
    ORDERS,
    /** Membership. */
    MEMBERSHIP,
    /** Quarantine. */
    QUARANTINE
}
