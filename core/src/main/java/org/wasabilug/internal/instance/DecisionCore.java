package org.wasabilug.internal.instance;

import java.util.List;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;

/**
 * Decisions of a whole entry instance. One thread at a time may call it; time comes with each
 * event, so that a run repeats from its events.
 */
public interface DecisionCore {
    /**
     * Takes an event.
     *
     * @param event what happened
     * @param nowNanos monotonic time, in nanoseconds
     * @return what to do, in order
     */
    List<InstanceAction> handle(InstanceEvent event, long nowNanos);

    /**
     * Configuration in force here.
     *
     * @return an immutable view
     */
    Configuration configuration();

    /**
     * State for operators.
     *
     * @param nowNanos monotonic time, in nanoseconds
     * @return an immutable copy
     */
    InstanceStatus status(long nowNanos);
}
