package org.wasabilug.internal.event;

import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;

/**
 * One attempt to run one stage of one request.
 *
 * @param request the request
 * @param stage the stage
 * @param number number of the attempt, unique at one instance, so that a late result of an earlier
 *     run of the same request is never taken for one of a later run
 */
public record AttemptId(RequestId request, StageName stage, long number) {
    @Override
    public String toString() {
        return request + "/" + stage + "/" + number;
    }
}
