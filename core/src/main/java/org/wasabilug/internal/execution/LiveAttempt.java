package org.wasabilug.internal.execution;

import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.model.EndpointName;

/**
 * An attempt that runs at an endpoint.
 *
 * @param id identity of the attempt
 * @param endpoint where it runs
 * @param dispatchedNanos when it was sent
 */
record LiveAttempt(AttemptId id, EndpointName endpoint, long dispatchedNanos) {}
