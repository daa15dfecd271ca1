package org.wasabilug.serving;

/**
 * Registration that an endpoint publishes about itself.
 *
 * @param name name of this endpoint incarnation
 * @param service service to which the endpoint belongs
 * @param host host address
 * @param port TCP port
 * @param failureDomain failure domain in which the endpoint runs
 * @param slots number of requests that the endpoint runs concurrently
 * @param leaving true if the endpoint accepts no further requests
 * @param coldMillis remaining cold time, in milliseconds, when the registration was written
 * @param startedAtMillis wall-clock start time, in milliseconds since the epoch; 0 if unknown
 * @param softwareVersion version of the endpoint's software, in no order; unlike the version of its
 *     weights it decides which endpoints may continue a stream of another
 * @param revision revision of the store at which the registration was written
 */
public record EndpointRegistration(
        String name,
        String service,
        String host,
        int port,
        String failureDomain,
        int slots,
        boolean leaving,
        long coldMillis,
        long startedAtMillis,
        String softwareVersion,
        StoreRevision revision) {
    /**
     * Returns whether this registration belongs to another process of the endpoint.
     *
     * @param other an earlier registration under the same name
     */
    public boolean isOtherIncarnationThan(EndpointRegistration other) {
        return startedAtMillis > other.startedAtMillis()
                || !host.equals(other.host())
                || port != other.port();
    }
}
