package org.wasabilug.internal.instance;

/** Gathers the state of the parts for operators. */
final class StatusReport {
    private static final long NANOS_PER_MILLISECOND = 1_000_000L;
    private static final long NEVER = -1;

    private StatusReport() {}

    static InstanceStatus of(InstanceSettings settings, InstanceParts parts, long nowNanos) {
        boolean stopping = parts.executor().isStopping();
        return new InstanceStatus(
                settings.name(),
                settings.failureDomain(),
                !stopping && !parts.configuration().objects().isEmpty(),
                stopping,
                parts.feed().sequence(),
                ageMilliseconds(parts, nowNanos),
                parts.feed().platformReachable(),
                parts.lease().epoch(),
                parts.lease().isHeld(nowNanos),
                parts.executor().requestsInFlight(),
                parts.waiting().size(),
                parts.router().statusOf(nowNanos),
                parts.membership().peerStatuses(nowNanos));
    }

    private static long ageMilliseconds(InstanceParts parts, long nowNanos) {
        long age = parts.feed().ageNanos(nowNanos);
        return age < 0 ? NEVER : age / NANOS_PER_MILLISECOND;
    }
}
