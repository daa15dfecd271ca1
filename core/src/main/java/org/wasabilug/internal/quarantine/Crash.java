package org.wasabilug.internal.quarantine;

import java.util.Set;
import java.util.TreeSet;
import org.wasabilug.model.EndpointName;

/** One crash of an endpoint with the contents that ran there, as far as they are known. */
final class Crash {
    final EndpointName mEndpoint;
    final long mGeneration;
    final long mTimeNanos;
    final Set<Long> mFingerprints = new TreeSet<>();

    /** A report showed that the endpoint has started again. */
    boolean mConfirmed;

    /** Contents that have completed since; what a peer says of them no longer counts. */
    private final Set<Long> mExonerated = new TreeSet<>();

    /** How often this crash is still to be told to peers. */
    int mPublicationsLeft;

    Crash(EndpointName endpoint, long generation, long timeNanos, int shares) {
        mEndpoint = endpoint;
        mGeneration = generation;
        mTimeNanos = timeNanos;
        mPublicationsLeft = shares;
    }

    boolean isOf(EndpointName endpoint, long generation) {
        return mGeneration == generation && mEndpoint.equals(endpoint);
    }

    /** Adds a content that ran there; false where that is no news. */
    boolean addContent(long fingerprint) {
        return !mExonerated.contains(fingerprint) && mFingerprints.add(fingerprint);
    }

    void exonerate(long fingerprint) {
        if (mFingerprints.remove(fingerprint)) {
            mExonerated.add(fingerprint);
        }
    }

    /** Place of the content among those that ran there, the same at every instance. */
    int rankOf(long fingerprint) {
        return (int) mFingerprints.stream().filter(other -> other < fingerprint).count();
    }

    /** True where this content is the only one that ran at both crashes. */
    boolean isOnlyCommonContent(long fingerprint, Crash other) {
        return mFingerprints.contains(fingerprint)
                && other.mFingerprints.contains(fingerprint)
                && mFingerprints.stream().filter(other.mFingerprints::contains).count() == 1;
    }
}
