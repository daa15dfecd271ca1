package org.wasabilug.internal.rollout;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/** Versions of a service's registered endpoints as seen by one instance during a rollout. */
final class ServiceVersions {
    private final String mCandidate;
    private final Set<String> mRegistered = new HashSet<>();
    private final Set<String> mOld = new HashSet<>();
    private boolean mCandidateSeen;

    ServiceVersions(String candidate) {
        mCandidate = candidate;
    }

    /** Sets the versions of the registered endpoints that accept requests. */
    void registered(Collection<String> versions) {
        mRegistered.clear();
        mRegistered.addAll(versions);
        mCandidateSeen |= candidateRegistered();
    }

    /**
     * Counts the registered versions among the old ones, except the candidate. Versions that are
     * first registered after the end are no part of the rollout.
     */
    void addOld() {
        mRegistered.stream().filter(each -> !each.equals(mCandidate)).forEach(mOld::add);
    }

    boolean isOld(String softwareVersion) {
        return mOld.contains(softwareVersion);
    }

    boolean candidateRegistered() {
        return mRegistered.contains(mCandidate);
    }

    boolean onlyCandidateRegistered() {
        return mRegistered.equals(Set.of(mCandidate));
    }

    /** Returns whether no version is registered but those that the candidate replaces. */
    boolean onlyOldRegistered() {
        return mOld.containsAll(mRegistered);
    }

    /**
     * Returns whether all endpoints of the candidate have left. An empty directory, or one in which
     * the candidate was never seen, may merely be incomplete.
     */
    boolean candidateGone() {
        return mCandidateSeen && !mRegistered.isEmpty() && !candidateRegistered();
    }
}
