package org.wasabilug.internal.lease;

import org.wasabilug.model.InstanceName;

/** The session lease as the parts that depend on it see it. */
public interface HeldLease {
    /**
     * Epoch of the current or last session.
     *
     * @return the epoch; 0 where the lease was never held
     */
    long epoch();

    /**
     * Tells whether the lease holds; to be asked right before each use.
     *
     * @param nowNanos monotonic time, in nanoseconds
     * @return true where no other process can hold it
     */
    boolean isHeld(long nowNanos);

    /**
     * Identity of this process.
     *
     * @return text that no other process has
     */
    String incarnation();

    /**
     * Instance in whose name the lease is held.
     *
     * @return its name
     */
    InstanceName instance();

    /**
     * Times of the leases of all instances.
     *
     * @return the times
     */
    LeaseSettings settings();
}
