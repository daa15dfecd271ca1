package org.wasabilug.internal.quarantine;

import java.util.Set;
import java.util.TreeSet;
import org.wasabilug.model.EndpointName;

/** A crash of an endpoint with the contents known to have run there at that time. */
final class Crash {
    final EndpointName mEndpoint;
    final long mGeneration;
    final long mTimeNanos;
    final Set<Long> mFingerprints = new TreeSet<>();

    /** Whether the crash is confirmed: a report showed a restart, or none refuted it in time. */
    boolean mConfirmed;

    /** Contents that have completed since; evidence of peers against them is ignored. */
    private final Set<Long> mExonerated = new TreeSet<>();

    /** Number of times that this crash is still to be published to peers. */
    int mPublicationsLeft;

    Crash(EndpointName endpoint, long generation, long timeNanos, int publications) {
        mEndpoint = endpoint;
        mGeneration = generation;
        mTimeNanos = timeNanos;
        mPublicationsLeft = publications;
    }

    boolean isOf(EndpointName endpoint, long generation) {
        return mGeneration == generation && mEndpoint.equals(endpoint);
    }

    /** Adds a content that ran at the crash; returns false if it is known or exonerated. */
    boolean addContent(long fingerprint) {
        return !mExonerated.contains(fingerprint) && mFingerprints.add(fingerprint);
    }

    void exonerate(long fingerprint) {
        if (mFingerprints.remove(fingerprint)) {
            mExonerated.add(fingerprint);
        }
    }

    /** Returns the rank of the content by fingerprint, which is the same at every instance. */
    int rankOf(long fingerprint) {
        return (int) mFingerprints.stream().filter(other -> other < fingerprint).count();
    }

    /** Returns whether this content is the only one that ran at both crashes. */
    boolean isOnlyCommonContent(long fingerprint, Crash other) {
        return mFingerprints.contains(fingerprint)
                && other.mFingerprints.contains(fingerprint)
                && mFingerprints.stream().filter(other.mFingerprints::contains).count() == 1;
    }
}
