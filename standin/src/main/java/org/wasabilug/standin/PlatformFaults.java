package org.wasabilug.standin;

import java.util.Set;

/**
 * Faults of the stand-in for the platform; zero, false and empty mean none.
 *
 * @param down true to refuse every request before it starts, with status 503
 * @param silent true to take requests and never answer nor carry them out
 * @param cutOffInstances names of instances that are treated as by {@code silent}
 * @param answersToLose how many of the next commits take effect without an answer
 * @param answerDelayMilliseconds time between carrying a request out and its answer
 * @param commitDelayMilliseconds time before a transaction is checked and takes effect
 * @param listLagMilliseconds age of the instance list that is shown
 * @param writesPerSecond most transactions and object writes a second; more get status 429
 * @param readsPerSecond most reads a second; more get status 429
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
    /** Copies the set. */
    public PlatformFaults {
        cutOffInstances = cutOffInstances == null ? Set.of() : Set.copyOf(cutOffInstances);
    }

    /**
     * No fault at all.
     *
     * @return the faults of a healthy platform
     */
    public static PlatformFaults none() {
        return builder().build();
    }

    /**
     * Starts building.
     *
     * @return a builder without faults
     */
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

        /**
         * Sets {@link PlatformFaults#down()}.
         *
         * @param value true to refuse every request
         * @return this builder
         */
        public Builder down(boolean value) {
            mDown = value;
            return this;
        }

        /**
         * Sets {@link PlatformFaults#silent()}.
         *
         * @param value true to leave every request without an answer
         * @return this builder
         */
        public Builder silent(boolean value) {
            mSilent = value;
            return this;
        }

        /**
         * Sets {@link PlatformFaults#cutOffInstances()}.
         *
         * @param value names of instances
         * @return this builder
         */
        public Builder cutOffInstances(Set<String> value) {
            mCutOffInstances = value;
            return this;
        }

        /**
         * Sets {@link PlatformFaults#answersToLose()}.
         *
         * @param value number of commits
         * @return this builder
         */
        public Builder answersToLose(int value) {
            mAnswersToLose = value;
            return this;
        }

        /**
         * Sets {@link PlatformFaults#answerDelayMilliseconds()}.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder answerDelayMilliseconds(long value) {
            mAnswerDelayMilliseconds = value;
            return this;
        }

        /**
         * Sets {@link PlatformFaults#commitDelayMilliseconds()}.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder commitDelayMilliseconds(long value) {
            mCommitDelayMilliseconds = value;
            return this;
        }

        /**
         * Sets {@link PlatformFaults#listLagMilliseconds()}.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder listLagMilliseconds(long value) {
            mListLagMilliseconds = value;
            return this;
        }

        /**
         * Sets {@link PlatformFaults#writesPerSecond()}.
         *
         * @param value writes a second
         * @return this builder
         */
        public Builder writesPerSecond(int value) {
            mWritesPerSecond = value;
            return this;
        }

        /**
         * Sets {@link PlatformFaults#readsPerSecond()}.
         *
         * @param value reads a second
         * @return this builder
         */
        public Builder readsPerSecond(int value) {
            mReadsPerSecond = value;
            return this;
        }

        /**
         * Builds the faults.
         *
         * @return the immutable faults
         */
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
