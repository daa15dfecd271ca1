package org.wasabilug.serving;

import java.util.List;

/**
 * Stage that must complete before a request of a route can run.
 *
 * @param service service that runs the stage
 * @param after indexes of the stages whose results this stage reads
 * @param resultBytes approximate size of one result, in bytes
 */
public record RouteStage(String service, List<Integer> after, double resultBytes) {
    /** Copies the list. */
    public RouteStage {
        after = List.copyOf(after);
    }
}
