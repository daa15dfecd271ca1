package org.wasabilug.serving;

/**
 * What an endpoint says of itself.
 *
 * @param name name of this start of the endpoint
 * @param service service to which it belongs
 * @param host address
 * @param port port
 * @param failureDomain failure domain in which it runs
 * @param slots requests that it runs at the same time
 * @param leaving true once it asks for no further requests
 * @param coldMillis time for which it was still cold when it wrote this
 * @param startedAtMillis wall-clock time of its start; 0 where unknown
 * @param version position in the store's history at which this was written
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
        long version) {}
