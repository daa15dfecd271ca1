package org.wasabilug.internal.serving;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** The streaks of a bounded number of features; the one recorded longest ago comes first. */
final class CrashStreaks {
    private static final int MAX_FEATURES = 4_000;

    private final Map<CrashFeature, CrashStreak> mStreaks = new LinkedHashMap<>();

    int size() {
        return mStreaks.size();
    }

    /** Returns the streak of a feature, or null if it has none. */
    CrashStreak find(CrashFeature feature) {
        return mStreaks.get(feature);
    }

    Iterable<CrashStreak> all() {
        return mStreaks.values();
    }

    /** Returns the streak of a feature to record a crash in; makes one if there is none. */
    CrashStreak forRecording(CrashFeature feature, boolean isAnsweredBefore) {
        CrashStreak streak = mStreaks.remove(feature);
        if (streak == null) {
            makeRoom();
            streak = new CrashStreak(isAnsweredBefore);
        }
        mStreaks.put(feature, streak);
        return streak;
    }

    void remove(CrashFeature feature) {
        mStreaks.remove(feature);
    }

    void removeExpired(long nowMillis) {
        mStreaks.values().removeIf(streak -> streak.isExpired(nowMillis));
    }

    /** Returns the fingerprints of the condemned features. */
    Set<Long> condemned() {
        return mStreaks.entrySet().stream()
                .filter(entry -> entry.getValue().isCondemned())
                .map(entry -> entry.getKey().fingerprint())
                .collect(Collectors.toSet());
    }

    /**
     * Returns whether another condemned feature was in more crashes than a streak has, and left
     * fewer of these unaccounted for than a number.
     */
    boolean isAccountedFor(CrashStreak streak, int minCrashes) {
        Set<EndpointCrash> crashes = streak.crashes();
        return mStreaks.values().stream()
                .filter(CrashStreak::isCondemned)
                .map(CrashStreak::crashes)
                .filter(other -> other.size() > crashes.size())
                .anyMatch(other -> countOthers(crashes, other) < minCrashes);
    }

    private static long countOthers(Set<EndpointCrash> crashes, Set<EndpointCrash> known) {
        return crashes.stream().filter(crash -> !known.contains(crash)).count();
    }

    /** Returns whether a condemned feature that a request lacks was in the same crashes. */
    boolean hasAbsentTwin(CrashStreak streak, Set<CrashFeature> features) {
        return mStreaks.entrySet().stream()
                .filter(entry -> entry.getValue().isCondemned())
                .filter(entry -> !features.contains(entry.getKey()))
                .anyMatch(entry -> entry.getValue().crashes().equals(streak.crashes()));
    }

    /** Makes room for a feature: those with a single crash go first, condemned ones last. */
    private void makeRoom() {
        if (mStreaks.size() >= MAX_FEATURES
                && !removeEldest(streak -> streak.crashes().size() == 1)
                && !removeEldest(streak -> !streak.isCondemned())) {
            removeEldest(streak -> true);
        }
    }

    private boolean removeEldest(Predicate<CrashStreak> condition) {
        Iterator<CrashStreak> eldestFirst = mStreaks.values().iterator();
        while (eldestFirst.hasNext()) {
            if (condition.test(eldestFirst.next())) {
                eldestFirst.remove();
                return true;
            }
        }
        return false;
    }
}
