package org.wasabilug.internal.retry;

import java.time.Duration;

/**
 * Settings of retries and hedges.
 *
 * @param earnedPerFirstAttempt retries that each first attempt earns for its pool
 * @param reserve most retries that a pool may save up, and what it starts with
 * @param baseDelay shortest delay before a retry
 * @param maximumDelay longest delay before a retry
 * @param maximumAttempts most attempts of one stage of one request
 * @param hedgesPerFirstAttempt hedges that each first attempt earns for its pool
 */
public record RetrySettings(
        double earnedPerFirstAttempt,
        double reserve,
        Duration baseDelay,
        Duration maximumDelay,
        int maximumAttempts,
        double hedgesPerFirstAttempt) {
    /**
     * Starts building from the usual values.
     *
     * @return a builder
     */
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

        /**
         * Sets the value of {@link RetrySettings#earnedPerFirstAttempt()}.
         *
         * @param value retries that each first attempt earns
         * @return this builder
         */
        public Builder earnedPerFirstAttempt(double value) {
            mEarnedPerFirstAttempt = value;
            return this;
        }

        /**
         * Sets the value of {@link RetrySettings#reserve()}.
         *
         * @param value most retries that a pool may save up
         * @return this builder
         */
        public Builder reserve(double value) {
            mReserve = value;
            return this;
        }

        /**
         * Sets the value of {@link RetrySettings#baseDelay()}.
         *
         * @param value shortest delay before a retry
         * @return this builder
         */
        public Builder baseDelay(Duration value) {
            mBaseDelay = value;
            return this;
        }

        /**
         * Sets the value of {@link RetrySettings#maximumDelay()}.
         *
         * @param value longest delay before a retry
         * @return this builder
         */
        public Builder maximumDelay(Duration value) {
            mMaximumDelay = value;
            return this;
        }

        /**
         * Sets the value of {@link RetrySettings#maximumAttempts()}.
         *
         * @param value most attempts of one stage of one request
         * @return this builder
         */
        public Builder maximumAttempts(int value) {
            mMaximumAttempts = value;
            return this;
        }

        /**
         * Sets the value of {@link RetrySettings#hedgesPerFirstAttempt()}.
         *
         * @param value hedges that each first attempt earns
         * @return this builder
         */
        public Builder hedgesPerFirstAttempt(double value) {
            mHedgesPerFirstAttempt = value;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the immutable settings
         */
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
