package org.wasabilug.internal.rollout;

/**
 * What the store holds about an order.
 *
 * @param state state of the rollout
 * @param softwareVersion version that is to get the traffic
 * @param moving true once the version was judged good, so that all instances move their traffic
 * @param deadlineMillis deadline by the store's clock, in milliseconds; 0 if not known
 */
public record RolloutStatus(
        State state, String softwareVersion, boolean moving, long deadlineMillis) {
    /** State of a rollout. */
    public enum State {
        /** The version is judged or gets the traffic. */
        RUNNING,
        /** The version has all traffic. */
        DONE,
        /** The old version has all traffic. */
        ROLLED_BACK;

        /** Returns whether this state of an order never changes. */
        public boolean isFinal() {
            return this != RUNNING;
        }
    }
}
