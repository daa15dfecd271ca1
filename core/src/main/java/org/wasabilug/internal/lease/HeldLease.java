package org.wasabilug.internal.lease;

import org.wasabilug.model.InstanceName;

/** Read-only view of a session lease, for the components that depend on it. */
public interface HeldLease {
    /** Returns the epoch of the current or last session; 0 if the lease was never held. */
    long epoch();

    /**
     * Returns whether the lease is held. Call this immediately before each action that depends on
     * it.
     *
     * @param nowNanos monotonic time, in nanoseconds
     * @return true if no other process can hold the lease
     */
    boolean isHeld(long nowNanos);

    /** Returns the identity of this process, which no other process has. */
    String incarnation();

    /** Returns the instance in whose name the lease is held. */
    InstanceName instance();

    /** Returns the lease times, which are the same at all instances. */
    LeaseSettings settings();
}
