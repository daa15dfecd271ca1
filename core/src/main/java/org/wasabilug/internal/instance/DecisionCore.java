package org.wasabilug.internal.instance;

import java.util.List;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;

/**
 * Decision logic of an entry instance. It is not thread-safe. The time is passed with each event,
 * so that a run can be reproduced from its events.
 */
public interface DecisionCore {
    /**
     * Handles an event.
     *
     * @param event the event
     * @param nowNanos current monotonic time, in nanoseconds
     * @return actions to perform, in order
     */
    List<InstanceAction> handle(InstanceEvent event, long nowNanos);

    /**
     * Returns the active configuration of this instance.
     *
     * @return an immutable configuration
     */
    Configuration configuration();

    /**
     * Returns the state of this instance for operators.
     *
     * @param nowNanos current monotonic time, in nanoseconds
     * @return an immutable snapshot
     */
    InstanceStatus status(long nowNanos);
}
