package org.wasabilug.standin.internal.endpoint;

import java.util.HashMap;
import java.util.Map;
import org.wasabilug.standin.EndpointCounts;

/** Counts calls and crashes. Not thread-safe; guarded by its owner. */
final class CallCounters {
    private final Map<CallKey, Integer> mReceivedByCall = new HashMap<>();
    private long mReceived;
    private long mRefused;
    private long mCompleted;
    private long mCancelled;
    private long mCrashes;
    private long mColdOverloads;
    private int mMaximumInFlightWhileCold;
    private int mMaximumInFlight;

    void recordReceived(String request, String stage) {
        mReceived += 1;
        mReceivedByCall.merge(new CallKey(request, stage), 1, Integer::sum);
    }

    void recordRefused() {
        mRefused += 1;
    }

    void recordEnd(boolean complete) {
        if (complete) {
            mCompleted += 1;
        } else {
            mCancelled += 1;
        }
    }

    void recordCrash() {
        mCrashes += 1;
    }

    void recordInFlight(int count, boolean cold, int coldLimit) {
        mMaximumInFlight = Math.max(mMaximumInFlight, count);
        if (!cold) {
            return;
        }
        mMaximumInFlightWhileCold = Math.max(mMaximumInFlightWhileCold, count);
        if (count > coldLimit) {
            mColdOverloads += 1;
        }
    }

    int receivedCalls(String request, String stage) {
        return mReceivedByCall.getOrDefault(new CallKey(request, stage), 0);
    }

    EndpointCounts counts() {
        return new EndpointCounts(
                mReceived,
                mRefused,
                mCompleted,
                mCancelled,
                mCrashes,
                mColdOverloads,
                mMaximumInFlightWhileCold,
                mMaximumInFlight);
    }

    private record CallKey(String request, String stage) {}
}
