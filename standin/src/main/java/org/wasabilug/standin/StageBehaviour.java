package org.wasabilug.standin;

/**
 * Computes the result of a stage; the same arguments must yield the same result at every endpoint.
 */
@FunctionalInterface
public interface StageBehaviour {
    /**
     * Computes the complete result of a stage call.
     *
     * @param stage name of the stage
     * @param input input of the call
     */
    String answer(String stage, String input);
}
