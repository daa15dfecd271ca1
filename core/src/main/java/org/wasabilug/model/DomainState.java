package org.wasabilug.model;

/** Whether a failure domain receives new work, as set by operators. */
public enum DomainState {
    /** The failure domain receives new work. */
    IN_SERVICE,
    /** The failure domain is out of service and receives no new work. */
    TAKEN_OUT
}
