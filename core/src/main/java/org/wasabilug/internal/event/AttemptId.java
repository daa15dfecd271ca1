package org.wasabilug.internal.event;

import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;

/**
 * Identity of an attempt to run a stage of a request.
 *
 * @param request the request
 * @param stage the stage
 * @param number number of the attempt, unique within the instance, so that a late result of an
 *     earlier run of the same request can't be mistaken for a result of a later run
 */
public record AttemptId(RequestId request, StageName stage, long number) {
    @Override
    public String toString() {
        return request + "/" + stage + "/" + number;
    }
}
