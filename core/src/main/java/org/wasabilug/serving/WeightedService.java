package org.wasabilug.serving;

/**
 * One of the services that share the requests of a route.
 *
 * @param service name of the service
 * @param weight share relative to the other services of the route
 */
public record WeightedService(String service, double weight) {}
