package org.wasabilug.internal.serving;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Remembers the contents of requests whose endpoints crashed while they ran.
 *
 * <p>Other requests break off in the same crash, so only a content that was there several times is
 * taken for the cause.
 */
public final class CrashRegister {
    private static final int CRASHES_OF_A_CAUSE = 3;
    private static final int MOST_CONTENTS = 2_000;

    private final Map<Long, Set<String>> mCrashedEndpoints =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Set<String>> eldest) {
                    return size() > MOST_CONTENTS;
                }
            };

    /**
     * Notes a crash.
     *
     * @param fingerprint hash of the content that ran
     * @param endpoint name of the start of the endpoint that crashed
     * @return true where this crash was not known
     */
    public boolean recordCrash(long fingerprint, String endpoint) {
        return mCrashedEndpoints
                .computeIfAbsent(fingerprint, content -> new HashSet<>())
                .add(endpoint);
    }

    /**
     * Tells whether no crash is known, so that no content need be hashed.
     *
     * @return true before the first crash
     */
    public boolean isEmpty() {
        return mCrashedEndpoints.isEmpty();
    }

    /**
     * Tells whether a content is taken for the cause of crashes.
     *
     * @param fingerprint hash of the content
     * @return true where it should not run again
     */
    public boolean causesCrashes(long fingerprint) {
        Set<String> endpoints = mCrashedEndpoints.get(fingerprint);
        return endpoints != null && endpoints.size() >= CRASHES_OF_A_CAUSE;
    }
}
