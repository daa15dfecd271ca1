package org.wasabilug.standin;

/** Computes the result of a stage; the same arguments give the same result at each endpoint. */
@FunctionalInterface
public interface StageBehaviour {
    /**
     * Computes a result.
     *
     * @param stage name of the stage
     * @param input input of the stage
     * @return the whole result
     */
    String answer(String stage, String input);
}
