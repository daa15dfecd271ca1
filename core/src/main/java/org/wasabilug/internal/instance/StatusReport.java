package org.wasabilug.internal.instance;

/** Gathers the state of the parts for operators. */
final class StatusReport {
    private StatusReport() {}

    static InstanceStatus of(InstanceSettings settings, InstanceParts parts, long nowNanos) {
        boolean stopping = parts.executor().isStopping();
        return new InstanceStatus(
                settings.name(),
                settings.failureDomain(),
                !stopping && !parts.configuration().objects().isEmpty(),
                stopping,
                parts.feed().sequence(),
                parts.membership().configurationAgeMilliseconds(nowNanos),
                parts.feed().platformReachable(),
                parts.lease().epoch(),
                parts.lease().isHeld(nowNanos),
                parts.executor().requestsInFlight(),
                parts.waiting().size(),
                parts.router().endpointStatuses(nowNanos),
                parts.membership().peerStatuses(nowNanos));
    }
}
