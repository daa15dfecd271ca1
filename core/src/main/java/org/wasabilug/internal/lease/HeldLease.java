package org.wasabilug.internal.lease;

import org.wasabilug.model.InstanceName;

/** Read-only view of a session lease, for the parts that depend on it. */
public interface HeldLease {
    /**
     * Returns the epoch of the current or last session.
     *
     * @return the epoch; 0 if the lease was never held
     */
    long epoch();

    /**
     * Returns whether the lease is held. Call this immediately before each action that depends on
     * it.
     *
     * @param nowNanos monotonic time, in nanoseconds
     * @return true if no other process can hold the lease
     */
    boolean isHeld(long nowNanos);

    /**
     * Returns the identity of this process.
     *
     * @return text that is unique to this process
     */
    String incarnation();

    /**
     * Returns the instance in whose name the lease is held.
     *
     * @return name of the instance
     */
    InstanceName instance();

    /**
     * Returns the lease times, which are the same at all instances.
     *
     * @return the settings
     */
    LeaseSettings settings();
}
