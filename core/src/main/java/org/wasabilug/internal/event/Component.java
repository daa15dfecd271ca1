package org.wasabilug.internal.event;

/** Components of an instance that send requests to the platform. */
public enum Component {
    /** At-most-once ledger. */
    LEDGER,
    /** Session lease of the instance. */
    LEASE,
    /** Cold-start grants. */
    GRANTS,
    /** Configuration feed. */
    FEED,
    /** Acceptance of tickets. */
    TICKETS,
    /** Coordination of orders to engines. */
    ORDERS,
    /** Membership and peer communication. */
    MEMBERSHIP,
    /** Quarantine of crashing contents. */
    QUARANTINE
}
