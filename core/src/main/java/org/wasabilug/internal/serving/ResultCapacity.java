package org.wasabilug.internal.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wasabilug.serving.StageCapacity;

/** Capacity for stage results at the endpoints of one service, as estimated by this instance. */
final class ResultCapacity {
    private static final double BYTES_PER_MEGABYTE = 1e6;

    private final Map<String, Double> mReservedBytes = new HashMap<>();
    private final List<Reservation> mReservations = new ArrayList<>();

    /** Capacity that is reserved until a known time. */
    private record Reservation(String endpoint, double bytes, long untilMillis) {}

    /** Reserves capacity for the result of a piece that is sent. */
    void reserve(String endpoint, double bytes) {
        mReservedBytes.merge(endpoint, bytes, Double::sum);
    }

    /** Releases the capacity of a discarded result, or of a piece that produced none. */
    void release(String endpoint, double bytes) {
        mReservedBytes.computeIfPresent(
                endpoint, (name, reserved) -> reserved - bytes > 1 ? reserved - bytes : null);
    }

    /** Reserves capacity for results that nobody can release before they expire. */
    void reserveUntil(String endpoint, double bytes, long untilMillis) {
        mReservations.add(new Reservation(endpoint, bytes, untilMillis));
    }

    /** Returns the number of bytes for results at an endpoint without any. */
    static double totalBytes(StageCapacity capacity) {
        return capacity.resultMegabytes() * BYTES_PER_MEGABYTE;
    }

    /** Returns the number of free bytes at an endpoint. */
    double freeBytes(String endpoint, StageCapacity capacity, long nowMillis) {
        mReservations.removeIf(each -> each.untilMillis() <= nowMillis);
        double temporary =
                mReservations.stream()
                        .filter(each -> each.endpoint().equals(endpoint))
                        .mapToDouble(Reservation::bytes)
                        .sum();
        return totalBytes(capacity) - mReservedBytes.getOrDefault(endpoint, 0.0) - temporary;
    }
}
