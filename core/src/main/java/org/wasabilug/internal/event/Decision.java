package org.wasabilug.internal.event;

/**
 * A routing or placement decision, for one log line.
 *
 * @param kind what was decided, such as route, retry, refuse, grant or order
 * @param request request that it concerns; empty for placement
 * @param workspace workspace of the request; empty for placement
 * @param stage stage that it concerns; empty where none does
 * @param candidates how many candidates were considered
 * @param chosen name of the chosen endpoint, instance or object; empty where none was
 * @param reason why
 * @param remainingMilliseconds budget left; -1 where there is none
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
