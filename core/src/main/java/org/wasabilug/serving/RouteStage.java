package org.wasabilug.serving;

import java.util.List;

/**
 * Work that must be done before a request of a route can run.
 *
 * @param service service that does the work
 * @param after positions of the stages whose results it reads
 * @param resultBytes approximate size of one result
 */
public record RouteStage(String service, List<Integer> after, double resultBytes) {
    /** Copies the list. */
    public RouteStage {
        after = List.copyOf(after);
    }
}
