package org.wasabilug.internal.serving;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Records which request contents were running when endpoints crashed.
 *
 * <p>A crash also interrupts unrelated requests, so a content is considered the cause only after
 * crashes of several endpoints.
 */
public final class CrashRegister {
    private static final int MIN_CRASHED_ENDPOINTS = 3;
    private static final int MAX_CONTENTS = 2_000;

    private final Map<Long, Set<String>> mCrashedEndpoints =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Set<String>> eldest) {
                    return size() > MAX_CONTENTS;
                }
            };

    /**
     * Records a crash.
     *
     * @param fingerprint hash of the content that was running
     * @param endpoint name of the endpoint incarnation that crashed
     * @return true if this crash was not recorded before
     */
    public boolean recordCrash(long fingerprint, String endpoint) {
        return mCrashedEndpoints
                .computeIfAbsent(fingerprint, content -> new HashSet<>())
                .add(endpoint);
    }

    /** Returns whether no crash is recorded, in which case contents need not be hashed. */
    public boolean isEmpty() {
        return mCrashedEndpoints.isEmpty();
    }

    /**
     * Returns whether a content is considered the cause of crashes and must not run again.
     *
     * @param fingerprint hash of the content
     */
    public boolean causesCrashes(long fingerprint) {
        Set<String> endpoints = mCrashedEndpoints.get(fingerprint);
        return endpoints != null && endpoints.size() >= MIN_CRASHED_ENDPOINTS;
    }
}
