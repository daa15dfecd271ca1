package org.wasabilug.bench.internal.virtual;

/**
 * Measured part of a run, in nanoseconds of virtual time; a disturbance lasts for its middle half.
 *
 * @param startNanos start of the window, inclusive
 * @param disturbanceStartNanos start of the disturbance
 * @param disturbanceEndNanos end of the disturbance
 * @param endNanos end of the window, exclusive
 */
record MeasurementWindow(
        long startNanos, long disturbanceStartNanos, long disturbanceEndNanos, long endNanos) {
    static MeasurementWindow of(long startNanos, long lengthNanos) {
        return new MeasurementWindow(
                startNanos,
                startNanos + lengthNanos / 4,
                startNanos + lengthNanos * 3 / 4,
                startNanos + lengthNanos);
    }
}
