package org.wasabilug.scenarios.internal.fleet;

import org.wasabilug.internal.instance.DecisionCore;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;

/** Makes the decision core of one process life of an instance. */
public interface CoreFactory {
    /**
     * Makes a core.
     *
     * @param name name of the instance
     * @param failureDomain failure domain that holds it
     * @param incarnation number of the process life
     * @param seed seed of its random numbers
     * @return a core that has seen no event
     */
    DecisionCore create(
            InstanceName name, FailureDomainName failureDomain, long incarnation, long seed);
}
