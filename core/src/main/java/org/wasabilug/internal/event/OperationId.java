package org.wasabilug.internal.event;

/**
 * Correlation id that routes a response of the platform to the component that sent the request.
 *
 * @param component component that sent the request
 * @param number number of the request, unique within the component
 */
public record OperationId(Component component, long number) {}
