package org.wasabilug.internal.event;

/**
 * A routing or placement decision, written as one log line.
 *
 * @param kind kind of decision, such as route, retry, refuse, grant or order
 * @param request id of the request; empty for placement
 * @param workspace workspace of the request; empty for placement
 * @param stage name of the stage; empty if the decision concerns no single stage
 * @param candidates number of candidates considered
 * @param chosen name of the chosen endpoint, instance or object; empty if none was chosen
 * @param reason reason for the decision
 * @param remainingMilliseconds time left until the deadline; -1 if there is no deadline
 */
public record Decision(
        String kind,
        String request,
        String workspace,
        String stage,
        int candidates,
        String chosen,
        String reason,
        long remainingMilliseconds) {}
