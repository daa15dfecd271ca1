package org.wasabilug.internal.instance;

/** Builds the status of an instance from the state of its components. */
final class StatusReport {
    private StatusReport() {}

    static InstanceStatus of(
            InstanceSettings settings, InstanceComponents components, long nowNanos) {
        boolean stopping = components.executor().isStopping();
        return new InstanceStatus(
                settings.name(),
                settings.failureDomain(),
                !stopping && !components.configuration().objects().isEmpty(),
                stopping,
                components.feed().sequence(),
                components.membership().configurationAgeMilliseconds(nowNanos),
                components.feed().platformReachable(),
                components.lease().epoch(),
                components.lease().isHeld(nowNanos),
                components.executor().requestsInFlight(),
                components.waiting().size(),
                components.router().endpointStatuses(nowNanos),
                components.membership().peerStatuses(nowNanos));
    }
}
