package org.wasabilug.internal.rollout;

import org.wasabilug.serving.StoreRevision;

/**
 * An operator's order to move the traffic of a service to another software version.
 *
 * @param service name of the service
 * @param softwareVersion version that is to get the traffic
 * @param durationMillis time from the order to its deadline, in milliseconds
 * @param revision revision of the order's row; another revision is another order
 */
public record RolloutOrder(
        String service, String softwareVersion, long durationMillis, StoreRevision revision) {}
