package org.wasabilug.internal.serving;

import java.util.Set;

/**
 * A crash of an endpoint and one request that had not got past the beginning of its answer there.
 *
 * @param endpoint name of the endpoint
 * @param failureDomain failure domain of the endpoint
 * @param service service of the endpoint
 * @param crashedMillis time of the crash on the monotonic clock of the local instance, in
 *     milliseconds
 * @param workspace hash of the name of the workspace that sent the request
 * @param content fingerprint of the whole content of the request
 * @param parts fingerprints of the prompt parts that other requests may share
 */
public record CrashObservation(
        String endpoint,
        String failureDomain,
        String service,
        long crashedMillis,
        long workspace,
        long content,
        Set<Long> parts) {
    /** Creates an observation with its own copy of the parts. */
    public CrashObservation {
        parts = Set.copyOf(parts);
    }

    /** Returns this observation with other parts. */
    CrashObservation withParts(Set<Long> otherParts) {
        return new CrashObservation(
                endpoint, failureDomain, service, crashedMillis, workspace, content, otherParts);
    }
}
