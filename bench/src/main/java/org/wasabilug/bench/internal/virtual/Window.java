package org.wasabilug.bench.internal.virtual;

/**
 * Measured part of a run, in nanoseconds of virtual time.
 *
 * @param startNanos first moment that counts
 * @param disturbedNanos when the disturbance begins
 * @param restoredNanos when it ends
 * @param endNanos first moment that no longer counts
 */
record Window(long startNanos, long disturbedNanos, long restoredNanos, long endNanos) {
    static Window of(long startNanos, long lengthNanos) {
        return new Window(
                startNanos,
                startNanos + lengthNanos / 4,
                startNanos + lengthNanos * 3 / 4,
                startNanos + lengthNanos);
    }
}
