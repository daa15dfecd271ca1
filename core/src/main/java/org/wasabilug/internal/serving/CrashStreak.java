package org.wasabilug.internal.serving;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/** The crashes on one feature of requests since an answer last went on with it. */
final class CrashStreak {
    private static final int MAX_EVIDENCE = 64;
    private static final long UNCONDEMNED_MILLIS = 60_000;
    private static final long CONDEMNED_MILLIS = 24 * 3_600_000L;

    /** Leaves time for the other observations that a peer sends with an old one. */
    private static final long ARRIVAL_MILLIS = 5_000;

    private static final long FIRST_REST_MILLIS = 60_000;

    /** A feature that was answered before is more often refused in error. */
    private static final long FIRST_REST_OF_ANSWERED_MILLIS = 10_000;

    private static final long MAX_REST_MILLIS = 3_600_000;

    /** With it no more than two trials fall into the first hour after a verdict. */
    private static final long REST_FACTOR = 20;

    private final List<Evidence> mEvidence = new ArrayList<>();
    private final Set<EndpointCrash> mCrashes = new HashSet<>();
    private boolean mCondemned;
    private long mRecordedMillis;
    private long mTrialUntilMillis = Long.MIN_VALUE;
    private long mRestMillis;

    private record Evidence(EndpointCrash crash, long workspace, long content) {}

    /** Creates an empty streak of a feature that is known to have been answered before, or not. */
    CrashStreak(boolean isAnsweredBefore) {
        mRestMillis = isAnsweredBefore ? FIRST_REST_OF_ANSWERED_MILLIS : FIRST_REST_MILLIS;
    }

    /** Adds a crash that happened while a request with the feature ran. */
    void add(EndpointCrash crash, CrashObservation observation, long nowMillis) {
        boolean isFailedTrial =
                mCondemned && crash.crashedMillis() - lastCrashMillis() >= mRestMillis;
        if (isFailedTrial) {
            mRestMillis = Math.min(MAX_REST_MILLIS, mRestMillis * REST_FACTOR);
        }
        if (mEvidence.size() >= MAX_EVIDENCE) {
            removeEvidence(leastNeeded()::equals);
        }
        mCrashes.add(crash);
        mEvidence.add(new Evidence(crash, observation.workspace(), observation.content()));
        mRecordedMillis = nowMillis;
        mTrialUntilMillis = Long.MIN_VALUE;
    }

    /** Removes the crashes up to a time at which an answer went on; returns whether any is left. */
    boolean clear(long answeredMillis) {
        removeEvidence(evidence -> evidence.crash().crashedMillis() <= answeredMillis);
        mCondemned = false;
        mRestMillis = FIRST_REST_OF_ANSWERED_MILLIS;
        mTrialUntilMillis = Long.MIN_VALUE;
        return !mEvidence.isEmpty();
    }

    Set<EndpointCrash> crashes() {
        return mCrashes;
    }

    int contents() {
        return distinct(Evidence::content).size();
    }

    long firstCrashMillis() {
        return mCrashes.stream()
                .mapToLong(EndpointCrash::crashedMillis)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    long lastCrashMillis() {
        return mCrashes.stream()
                .mapToLong(EndpointCrash::crashedMillis)
                .max()
                .orElse(Long.MIN_VALUE);
    }

    boolean isCondemned() {
        return mCondemned;
    }

    /** Makes the feature count as a cause of crashes until an answer goes on with it. */
    void condemn() {
        mCondemned = true;
    }

    /**
     * Returns whether a verdict holds for a workspace; that of one workspace holds for it alone.
     */
    boolean concerns(long workspace) {
        Set<Long> workspaces = distinct(Evidence::workspace);
        return workspaces.size() > 1 || workspaces.contains(workspace);
    }

    /** Returns whether the last crash is so long ago that one request may be tried. */
    boolean isRested(long nowMillis) {
        return nowMillis - lastCrashMillis() >= mRestMillis;
    }

    boolean isOnTrial(long nowMillis) {
        return nowMillis < mTrialUntilMillis;
    }

    void startTrial(long untilMillis) {
        mTrialUntilMillis = untilMillis;
    }

    boolean isExpired(long nowMillis) {
        long keptMillis = mCondemned ? CONDEMNED_MILLIS : UNCONDEMNED_MILLIS;
        return nowMillis - lastCrashMillis() > keptMillis
                && nowMillis - mRecordedMillis > ARRIVAL_MILLIS;
    }

    /** Returns the eldest evidence of a crash that has more, or else the eldest. */
    private Evidence leastNeeded() {
        Set<EndpointCrash> later = new HashSet<>();
        Evidence leastNeeded = mEvidence.getFirst();
        for (Evidence evidence : mEvidence.reversed()) {
            if (!later.add(evidence.crash())) {
                leastNeeded = evidence;
            }
        }
        return leastNeeded;
    }

    private void removeEvidence(Predicate<Evidence> condition) {
        mEvidence.removeIf(condition);
        mCrashes.clear();
        mEvidence.forEach(evidence -> mCrashes.add(evidence.crash()));
    }

    private Set<Long> distinct(ToLongFunction<Evidence> property) {
        Set<Long> values = new HashSet<>();
        mEvidence.forEach(evidence -> values.add(property.applyAsLong(evidence)));
        return values;
    }
}
