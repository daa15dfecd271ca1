package org.wasabilug.scenarios.internal.fleet;

import org.wasabilug.internal.instance.DecisionCore;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;

/** Factory for the decision core of a process incarnation. */
public interface CoreFactory {
    /**
     * Creates a decision core.
     *
     * @param name name of the instance
     * @param failureDomain failure domain of the instance
     * @param incarnation number of the process incarnation
     * @param seed seed of its random numbers
     * @return a core that has not yet handled any event
     */
    DecisionCore create(
            InstanceName name, FailureDomainName failureDomain, long incarnation, long seed);
}
