package org.wasabilug.internal.retry;

import java.time.Duration;

/**
 * Settings of retries and hedges.
 *
 * @param earnedPerFirstAttempt number of retries that each first attempt adds to its pool's budget
 * @param reserve maximum number of retries in a pool's budget, which is also its initial value
 * @param baseDelay minimum delay before a retry
 * @param maximumDelay maximum delay before a retry
 * @param maximumAttempts maximum number of attempts of one stage of one request
 * @param hedgesPerFirstAttempt number of hedges that each first attempt adds to its pool's budget
 */
public record RetrySettings(
        double earnedPerFirstAttempt,
        double reserve,
        Duration baseDelay,
        Duration maximumDelay,
        int maximumAttempts,
        double hedgesPerFirstAttempt) {
    /** Returns a builder with default values. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds {@link RetrySettings}. */
    public static final class Builder {
        private double mEarnedPerFirstAttempt = 0.1;
        private double mReserve = 10;
        private Duration mBaseDelay = Duration.ofMillis(5);
        private Duration mMaximumDelay = Duration.ofMillis(500);
        private int mMaximumAttempts = 4;
        private double mHedgesPerFirstAttempt = 0.02;

        private Builder() {}

        /** Sets the number of retries that each first attempt adds to its pool's budget. */
        public Builder earnedPerFirstAttempt(double value) {
            mEarnedPerFirstAttempt = value;
            return this;
        }

        /**
         * Sets the maximum number of retries in a pool's budget, which is also its initial value.
         */
        public Builder reserve(double value) {
            mReserve = value;
            return this;
        }

        /** Sets the minimum delay before a retry. */
        public Builder baseDelay(Duration value) {
            mBaseDelay = value;
            return this;
        }

        /** Sets the maximum delay before a retry. */
        public Builder maximumDelay(Duration value) {
            mMaximumDelay = value;
            return this;
        }

        /** Sets the maximum number of attempts of one stage of one request. */
        public Builder maximumAttempts(int value) {
            mMaximumAttempts = value;
            return this;
        }

        /** Sets the number of hedges that each first attempt adds to its pool's budget. */
        public Builder hedgesPerFirstAttempt(double value) {
            mHedgesPerFirstAttempt = value;
            return this;
        }

        /** Builds the immutable settings. */
        public RetrySettings build() {
            return new RetrySettings(
                    mEarnedPerFirstAttempt,
                    mReserve,
                    mBaseDelay,
                    mMaximumDelay,
                    mMaximumAttempts,
                    mHedgesPerFirstAttempt);
        }
    }
}
