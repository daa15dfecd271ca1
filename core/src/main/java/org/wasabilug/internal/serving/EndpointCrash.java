package org.wasabilug.internal.serving;

import java.util.ArrayList;
import java.util.List;

/** One crash of one endpoint, with the requests that were observed in it. */
final class EndpointCrash {
    /** An endpoint needs longer than this to start again. */
    private static final long SAME_CRASH_MILLIS = 1_000;

    /** Callers choose how many requests an endpoint has. */
    private static final int MAX_OBSERVATIONS = 256;

    private final String mEndpoint;
    private final String mService;
    private final long mCrashedMillis;
    private final List<CrashObservation> mObservations = new ArrayList<>();

    EndpointCrash(CrashObservation first) {
        mEndpoint = first.endpoint();
        mService = first.service();
        mCrashedMillis = first.crashedMillis();
    }

    String service() {
        return mService;
    }

    long crashedMillis() {
        return mCrashedMillis;
    }

    List<CrashObservation> observations() {
        return mObservations;
    }

    /** Forgets the requests; the crash goes on counting for the features it was recorded for. */
    void removeObservations() {
        mObservations.clear();
    }

    /** Returns whether the observation tells of this crash. */
    boolean includes(CrashObservation observation) {
        return mEndpoint.equals(observation.endpoint())
                && Math.abs(observation.crashedMillis() - mCrashedMillis) < SAME_CRASH_MILLIS;
    }

    /** Adds an observation of this crash; returns whether its content was not known here. */
    boolean add(CrashObservation observation) {
        boolean isKnown =
                mObservations.stream().anyMatch(known -> known.content() == observation.content());
        if (isKnown || mObservations.size() >= MAX_OBSERVATIONS) {
            return false;
        }
        mObservations.add(observation);
        return true;
    }
}
