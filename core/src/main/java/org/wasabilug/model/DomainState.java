package org.wasabilug.model;

/** Whether operators let a failure domain take new work. */
public enum DomainState {
    /** New work is allowed. */
    IN_SERVICE,
    /** Operators have taken the failure domain out; it gets no new work. */
    TAKEN_OUT
}
