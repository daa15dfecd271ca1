package org.wasabilug.serving;

/**
 * One of the services that share the requests of a route.
 *
 * @param service name of the service
 * @param weight share of the requests relative to the route's other services
 */
public record WeightedService(String service, double weight) {}
