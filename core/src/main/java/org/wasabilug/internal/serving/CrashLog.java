package org.wasabilug.internal.serving;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The crashes of late and those that still matter, in the order in which they became known. */
final class CrashLog {
    private static final long CRASH_MILLIS = 60_000;
    private static final int MAX_CRASHES = 500;
    private static final int MAX_OBSERVATIONS = 8_000;

    private final List<EndpointCrash> mCrashes = new ArrayList<>();

    List<EndpointCrash> crashes() {
        return mCrashes;
    }

    /** Returns the crash that an observation tells of; adds it if it is not known. */
    EndpointCrash findOrAdd(CrashObservation observation) {
        for (EndpointCrash crash : mCrashes) {
            if (crash.includes(observation)) {
                return crash;
            }
        }
        EndpointCrash crash = new EndpointCrash(observation);
        mCrashes.add(crash);
        return crash;
    }

    /** Removes the eldest crashes beyond the bounds. */
    void removeSurplus() {
        int observations = mCrashes.stream().mapToInt(crash -> crash.observations().size()).sum();
        while (mCrashes.size() > MAX_CRASHES || observations > MAX_OBSERVATIONS) {
            EndpointCrash eldest = mCrashes.removeFirst();
            observations -= eldest.observations().size();
            eldest.removeObservations();
        }
    }

    /** Removes the crashes that are neither recent nor needed. */
    void removeExpired(Set<EndpointCrash> needed, long nowMillis) {
        mCrashes.removeIf(
                crash ->
                        nowMillis - crash.crashedMillis() > CRASH_MILLIS
                                && !needed.contains(crash));
    }

    /** Returns how many crashes the services of a streak had from its first to its last one. */
    long countDuring(CrashStreak streak) {
        Set<String> services = new HashSet<>();
        streak.crashes().forEach(crash -> services.add(crash.service()));
        return mCrashes.stream()
                .filter(crash -> services.contains(crash.service()))
                .filter(crash -> crash.crashedMillis() >= streak.firstCrashMillis())
                .filter(crash -> crash.crashedMillis() <= streak.lastCrashMillis())
                .count();
    }
}
