package org.wasabilug.comparison;

import org.wasabilug.internal.deadline.WaitingCall;

/**
 * A request of the model.
 *
 * @param call the call as the queue sees it
 * @param workNanos true time at an endpoint that is not slow
 * @param arrivalNanos when it came
 */
record ModelRequest(WaitingCall call, long workNanos, long arrivalNanos) {}
