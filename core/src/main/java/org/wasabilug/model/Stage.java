package org.wasabilug.model;

import java.util.List;

/**
 * One stage of a pipeline.
 *
 * @param name name within the pipeline
 * @param pool pool that runs it
 * @param repeatable false where it may run at most once for each request
 * @param after stages whose results it reads; empty for a stage that reads the request alone.
 *     Several stages after the same one run side by side
 */
public record Stage(StageName name, PoolName pool, boolean repeatable, List<StageName> after) {
    /** Copies the list. */
    public Stage {
        after = List.copyOf(after);
    }
}
