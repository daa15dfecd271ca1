package org.wasabilug.standin;

/**
 * Faults of the stand-in for an endpoint; zero, false and empty mean none.
 *
 * @param slowFactor factor on every time of an answer; 0 and 1 change nothing
 * @param failing true to receive calls and answer with status 500
 * @param refusing true to refuse calls before any work, with status 429
 * @param silent true to receive calls and never send a result
 * @param poisonMarker text of an input that crashes the endpoint
 * @param cutAfterChunks chunks after which an answer's connection breaks
 * @param doubledChunks true to send each chunk twice
 * @param reorderedChunks true to swap each two neighbouring chunks
 * @param hidesCold true to report a cold endpoint as warm
 * @param reportLagMilliseconds age of load reports
 * @param cacheEventLagMilliseconds age of the newest cache event that is told
 * @param cacheEventGapEvery leaves out each batch of cache events with a number divisible by this
 * @param ignoresFencing true to carry out orders with old fencing numbers
 */
public record EndpointFaults(
        double slowFactor,
        boolean failing,
        boolean refusing,
        boolean silent,
        String poisonMarker,
        int cutAfterChunks,
        boolean doubledChunks,
        boolean reorderedChunks,
        boolean hidesCold,
        long reportLagMilliseconds,
        long cacheEventLagMilliseconds,
        int cacheEventGapEvery,
        boolean ignoresFencing) {
    /** Replaces missing values by those of a healthy endpoint. */
    public EndpointFaults {
        slowFactor = slowFactor == 0 ? 1 : slowFactor;
        poisonMarker = poisonMarker == null ? "" : poisonMarker;
    }

    /**
     * No fault at all.
     *
     * @return the faults of a healthy endpoint
     */
    public static EndpointFaults none() {
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

    /** Builds {@link EndpointFaults}. */
    public static final class Builder {
        private double mSlowFactor = 1;
        private boolean mFailing;
        private boolean mRefusing;
        private boolean mSilent;
        private String mPoisonMarker = "";
        private int mCutAfterChunks;
        private boolean mDoubledChunks;
        private boolean mReorderedChunks;
        private boolean mHidesCold;
        private long mReportLagMilliseconds;
        private long mCacheEventLagMilliseconds;
        private int mCacheEventGapEvery;
        private boolean mIgnoresFencing;

        private Builder() {}

        /**
         * Sets {@link EndpointFaults#slowFactor()}.
         *
         * @param value factor, 1 for none
         * @return this builder
         */
        public Builder slowFactor(double value) {
            mSlowFactor = value;
            return this;
        }

        /**
         * Sets {@link EndpointFaults#failing()}.
         *
         * @param value true to fail calls
         * @return this builder
         */
        public Builder failing(boolean value) {
            mFailing = value;
            return this;
        }

        /**
         * Sets {@link EndpointFaults#refusing()}.
         *
         * @param value true to refuse calls
         * @return this builder
         */
        public Builder refusing(boolean value) {
            mRefusing = value;
            return this;
        }

        /**
         * Sets {@link EndpointFaults#silent()}.
         *
         * @param value true to leave calls without an answer
         * @return this builder
         */
        public Builder silent(boolean value) {
            mSilent = value;
            return this;
        }

        /**
         * Sets {@link EndpointFaults#poisonMarker()}.
         *
         * @param value text that crashes the endpoint; empty for none
         * @return this builder
         */
        public Builder poisonMarker(String value) {
            mPoisonMarker = value;
            return this;
        }

        /**
         * Sets {@link EndpointFaults#cutAfterChunks()}.
         *
         * @param value chunks; 0 for never
         * @return this builder
         */
        public Builder cutAfterChunks(int value) {
            mCutAfterChunks = value;
            return this;
        }

        /**
         * Sets {@link EndpointFaults#doubledChunks()}.
         *
         * @param value true to double chunks
         * @return this builder
         */
        public Builder doubledChunks(boolean value) {
            mDoubledChunks = value;
            return this;
        }

        /**
         * Sets {@link EndpointFaults#reorderedChunks()}.
         *
         * @param value true to swap chunks
         * @return this builder
         */
        public Builder reorderedChunks(boolean value) {
            mReorderedChunks = value;
            return this;
        }

        /**
         * Sets {@link EndpointFaults#hidesCold()}.
         *
         * @param value true to report warm always
         * @return this builder
         */
        public Builder hidesCold(boolean value) {
            mHidesCold = value;
            return this;
        }

        /**
         * Sets {@link EndpointFaults#reportLagMilliseconds()}.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder reportLagMilliseconds(long value) {
            mReportLagMilliseconds = value;
            return this;
        }

        /**
         * Sets {@link EndpointFaults#cacheEventLagMilliseconds()}.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder cacheEventLagMilliseconds(long value) {
            mCacheEventLagMilliseconds = value;
            return this;
        }

        /**
         * Sets {@link EndpointFaults#cacheEventGapEvery()}.
         *
         * @param value 2 or more; 0 for no gaps
         * @return this builder
         */
        public Builder cacheEventGapEvery(int value) {
            mCacheEventGapEvery = value;
            return this;
        }

        /**
         * Sets {@link EndpointFaults#ignoresFencing()}.
         *
         * @param value true to ignore fencing numbers
         * @return this builder
         */
        public Builder ignoresFencing(boolean value) {
            mIgnoresFencing = value;
            return this;
        }

        /**
         * Builds the faults.
         *
         * @return the immutable faults
         */
        public EndpointFaults build() {
            return new EndpointFaults(
                    mSlowFactor,
                    mFailing,
                    mRefusing,
                    mSilent,
                    mPoisonMarker,
                    mCutAfterChunks,
                    mDoubledChunks,
                    mReorderedChunks,
                    mHidesCold,
                    mReportLagMilliseconds,
                    mCacheEventLagMilliseconds,
                    mCacheEventGapEvery,
                    mIgnoresFencing);
        }
    }
}
