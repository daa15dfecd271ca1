package org.wasabilug.internal.serving;

import java.util.LinkedHashMap;
import java.util.Map;

/** Which cleared features peers hear of again, as a message may be lost. */
final class CrashAcquittals {
    private static final long REPEAT_MILLIS = 5_000;
    private static final long REPEATED_MILLIS = 60_000;
    private static final int MAX_FEATURES = 4_000;

    private final Map<CrashFeature, Acquittal> mAcquittals =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<CrashFeature, Acquittal> eldest) {
                    return size() > MAX_FEATURES;
                }
            };

    private record Acquittal(long clearedMillis, long toldMillis) {}

    /** Records that a feature was cleared and that peers hear of it now. */
    void add(CrashFeature feature, long nowMillis) {
        mAcquittals.remove(feature);
        mAcquittals.put(feature, new Acquittal(nowMillis, nowMillis));
    }

    /** Returns whether peers should hear again of a feature that was answered again. */
    boolean repeat(CrashFeature feature, long nowMillis) {
        Acquittal acquittal = mAcquittals.get(feature);
        if (acquittal == null
                || nowMillis - acquittal.toldMillis() < REPEAT_MILLIS
                || nowMillis - acquittal.clearedMillis() > REPEATED_MILLIS) {
            return false;
        }
        mAcquittals.put(feature, new Acquittal(acquittal.clearedMillis(), nowMillis));
        return true;
    }

    void removeExpired(long nowMillis) {
        mAcquittals
                .values()
                .removeIf(acquittal -> nowMillis - acquittal.clearedMillis() > REPEATED_MILLIS);
    }
}
