package org.wasabilug.internal.execution;

import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.model.EndpointName;

/**
 * An attempt in flight at an endpoint.
 *
 * @param id identity of the attempt
 * @param endpoint endpoint that runs it
 * @param dispatchedNanos time of dispatch, monotonic, in nanoseconds
 */
record LiveAttempt(AttemptId id, EndpointName endpoint, long dispatchedNanos) {}
