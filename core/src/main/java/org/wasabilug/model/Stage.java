package org.wasabilug.model;

import java.util.List;

/**
 * A stage of a pipeline.
 *
 * @param name name of the stage, unique within the pipeline
 * @param pool pool that executes the stage
 * @param repeatable false if the stage may run at most once for each request
 * @param after stages whose results this stage reads; empty if it reads the request only. Stages
 *     that depend on the same stage run in parallel
 */
public record Stage(StageName name, PoolName pool, boolean repeatable, List<StageName> after) {
    /** Copies the list. */
    public Stage {
        after = List.copyOf(after);
    }
}
