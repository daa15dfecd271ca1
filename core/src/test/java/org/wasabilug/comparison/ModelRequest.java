package org.wasabilug.comparison;

import org.wasabilug.internal.deadline.WaitingCall;

/**
 * A request of the model.
 *
 * @param call the call as it enters the queue
 * @param workNanos actual processing time at an endpoint of normal speed
 * @param arrivalNanos arrival in virtual time
 */
record ModelRequest(WaitingCall call, long workNanos, long arrivalNanos) {}
