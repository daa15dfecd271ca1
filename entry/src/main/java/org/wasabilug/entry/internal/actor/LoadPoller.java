package org.wasabilug.entry.internal.actor;

import java.util.List;
import java.util.function.Consumer;
import org.wasabilug.endpoint.EndpointClient;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.instance.InstanceStatus.EndpointStatus;

/** Asks the endpoints that this instance routes to for their load. */
final class LoadPoller {
    private final EndpointClient mEndpoints;
    private final Consumer<InstanceEvent> mEvents;

    LoadPoller(EndpointClient endpoints, Consumer<InstanceEvent> events) {
        mEndpoints = endpoints;
        mEvents = events;
    }

    void poll(List<EndpointStatus> routed, Configuration configuration) {
        for (EndpointStatus status : routed) {
            configuration
                    .endpoint(status.name())
                    .ifPresent(endpoint -> mEndpoints.poll(endpoint, mEvents));
        }
    }
}
