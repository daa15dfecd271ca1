package org.wasabilug.internal.event;

import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;

/**
 * One attempt to run one stage of one request.
 *
 * @param request the request
 * @param stage the stage
 * @param number number of the attempt, from 1, unique within request and stage at one instance
 */
public record AttemptId(RequestId request, StageName stage, int number) {
    @Override
    public String toString() {
        return request + "/" + stage + "/" + number;
    }
}
