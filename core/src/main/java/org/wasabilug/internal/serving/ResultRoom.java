package org.wasabilug.internal.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wasabilug.serving.StageCapacity;

/** Room for results at the endpoints of one service, as far as it is known here. */
final class ResultRoom {
    private static final double BYTES_PER_MEGABYTE = 1e6;

    private final Map<String, Double> mHeld = new HashMap<>();
    private final List<Occupied> mOccupied = new ArrayList<>();

    /** Room that is taken for a known time. */
    private record Occupied(String endpoint, double bytes, long untilMillis) {}

    /** Takes room for the result of a piece that is sent. */
    void take(String endpoint, double bytes) {
        mHeld.merge(endpoint, bytes, Double::sum);
    }

    /** Gives back the room of a result that was given up, or of a piece that has none. */
    void release(String endpoint, double bytes) {
        mHeld.computeIfPresent(endpoint, (name, held) -> held - bytes > 1 ? held - bytes : null);
    }

    /** Notes room that is taken by results that nobody can give up. */
    void occupy(String endpoint, double bytes, long untilMillis) {
        mOccupied.add(new Occupied(endpoint, bytes, untilMillis));
    }

    /** Gives the bytes that are free at an endpoint. */
    double free(String endpoint, StageCapacity capacity, long nowMillis) {
        mOccupied.removeIf(each -> each.untilMillis() <= nowMillis);
        double occupied =
                mOccupied.stream()
                        .filter(each -> each.endpoint().equals(endpoint))
                        .mapToDouble(Occupied::bytes)
                        .sum();
        return capacity.resultMegabytes() * BYTES_PER_MEGABYTE
                - mHeld.getOrDefault(endpoint, 0.0)
                - occupied;
    }
}
