package org.wasabilug.standin;

import java.util.Set;

/**
 * Faults of the stand-in for the platform; zero, false and empty mean no fault.
 *
 * @param down true to reject every request with status 503 before processing it
 * @param silent true to accept requests but neither process nor answer them
 * @param cutOffInstances names of instances whose requests are handled as with {@code silent}
 * @param answersToLose number of the next commits that are processed but whose response is lost
 * @param answerDelayMilliseconds delay between processing a request and sending its response
 * @param commitDelayMilliseconds delay before a transaction is checked and applied
 * @param listLagMilliseconds age of the instance list returned, in milliseconds
 * @param writesPerSecond maximum rate of transactions and object writes; more get status 429
 * @param readsPerSecond maximum rate of reads; more get status 429
 */
public record PlatformFaults(
        boolean down,
        boolean silent,
        Set<String> cutOffInstances,
        int answersToLose,
        long answerDelayMilliseconds,
        long commitDelayMilliseconds,
        long listLagMilliseconds,
        int writesPerSecond,
        int readsPerSecond) {
    /** Copies the set; a field missing in JSON becomes the empty set. */
    public PlatformFaults {
        cutOffInstances = cutOffInstances == null ? Set.of() : Set.copyOf(cutOffInstances);
    }

    /** Returns the faults of a healthy platform. */
    public static PlatformFaults none() {
        return builder().build();
    }

    /** Returns a builder that starts without faults. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds {@link PlatformFaults}. */
    public static final class Builder {
        private boolean mDown;
        private boolean mSilent;
        private Set<String> mCutOffInstances = Set.of();
        private int mAnswersToLose;
        private long mAnswerDelayMilliseconds;
        private long mCommitDelayMilliseconds;
        private long mListLagMilliseconds;
        private int mWritesPerSecond;
        private int mReadsPerSecond;

        private Builder() {}

        /** Sets {@link PlatformFaults#down()}. */
        public Builder down(boolean value) {
            mDown = value;
            return this;
        }

        /** Sets {@link PlatformFaults#silent()}. */
        public Builder silent(boolean value) {
            mSilent = value;
            return this;
        }

        /** Sets {@link PlatformFaults#cutOffInstances()}. */
        public Builder cutOffInstances(Set<String> value) {
            mCutOffInstances = value;
            return this;
        }

        /** Sets {@link PlatformFaults#answersToLose()}. */
        public Builder answersToLose(int value) {
            mAnswersToLose = value;
            return this;
        }

        /** Sets {@link PlatformFaults#answerDelayMilliseconds()}. */
        public Builder answerDelayMilliseconds(long value) {
            mAnswerDelayMilliseconds = value;
            return this;
        }

        /** Sets {@link PlatformFaults#commitDelayMilliseconds()}. */
        public Builder commitDelayMilliseconds(long value) {
            mCommitDelayMilliseconds = value;
            return this;
        }

        /** Sets {@link PlatformFaults#listLagMilliseconds()}. */
        public Builder listLagMilliseconds(long value) {
            mListLagMilliseconds = value;
            return this;
        }

        /** Sets {@link PlatformFaults#writesPerSecond()}; 0 means no limit. */
        public Builder writesPerSecond(int value) {
            mWritesPerSecond = value;
            return this;
        }

        /** Sets {@link PlatformFaults#readsPerSecond()}; 0 means no limit. */
        public Builder readsPerSecond(int value) {
            mReadsPerSecond = value;
            return this;
        }

        /** Returns the immutable faults. */
        public PlatformFaults build() {
            return new PlatformFaults(
                    mDown,
                    mSilent,
                    mCutOffInstances,
                    mAnswersToLose,
                    mAnswerDelayMilliseconds,
                    mCommitDelayMilliseconds,
                    mListLagMilliseconds,
                    mWritesPerSecond,
                    mReadsPerSecond);
        }
    }
}
