package org.wasabilug.standin;

/**
 * Faults of the stand-in for an endpoint; zero, false and empty mean no fault.
 *
 * @param slowFactor multiplies every delay of an answer; 0 and 1 change nothing
 * @param failing true to accept calls and answer them with status 500
 * @param refusing true to refuse calls before any work, with status 429
 * @param silent true to accept calls and never send a result
 * @param poisonMarker text that crashes the endpoint if a call's input contains it
 * @param cutAfterChunks number of chunks after which the connection of an answer breaks
 * @param doubledChunks true to send each chunk twice
 * @param reorderedChunks true to swap each pair of neighbouring chunks
 * @param hidesCold true to report a cold endpoint as warm
 * @param reportLagMilliseconds age of the load reports sent, in milliseconds
 * @param cacheEventLagMilliseconds minimum age of the cache events sent, in milliseconds
 * @param cacheEventGapEvery omits each cache event whose sequence number is divisible by this
 * @param ignoresFencing true to apply orders with outdated fencing numbers
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
    /** Replaces fields that are missing in JSON by the values of a healthy endpoint. */
    public EndpointFaults {
        slowFactor = slowFactor == 0 ? 1 : slowFactor;
        poisonMarker = poisonMarker == null ? "" : poisonMarker;
    }

    /** Returns the faults of a healthy endpoint. */
    public static EndpointFaults none() {
        return builder().build();
    }

    /** Returns a builder that starts without faults. */
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

        /** Sets {@link EndpointFaults#slowFactor()}; 1 means normal speed. */
        public Builder slowFactor(double value) {
            mSlowFactor = value;
            return this;
        }

        /** Sets {@link EndpointFaults#failing()}. */
        public Builder failing(boolean value) {
            mFailing = value;
            return this;
        }

        /** Sets {@link EndpointFaults#refusing()}. */
        public Builder refusing(boolean value) {
            mRefusing = value;
            return this;
        }

        /** Sets {@link EndpointFaults#silent()}. */
        public Builder silent(boolean value) {
            mSilent = value;
            return this;
        }

        /** Sets {@link EndpointFaults#poisonMarker()}; empty for none. */
        public Builder poisonMarker(String value) {
            mPoisonMarker = value;
            return this;
        }

        /** Sets {@link EndpointFaults#cutAfterChunks()}; 0 means never. */
        public Builder cutAfterChunks(int value) {
            mCutAfterChunks = value;
            return this;
        }

        /** Sets {@link EndpointFaults#doubledChunks()}. */
        public Builder doubledChunks(boolean value) {
            mDoubledChunks = value;
            return this;
        }

        /** Sets {@link EndpointFaults#reorderedChunks()}. */
        public Builder reorderedChunks(boolean value) {
            mReorderedChunks = value;
            return this;
        }

        /** Sets {@link EndpointFaults#hidesCold()}. */
        public Builder hidesCold(boolean value) {
            mHidesCold = value;
            return this;
        }

        /** Sets {@link EndpointFaults#reportLagMilliseconds()}. */
        public Builder reportLagMilliseconds(long value) {
            mReportLagMilliseconds = value;
            return this;
        }

        /** Sets {@link EndpointFaults#cacheEventLagMilliseconds()}. */
        public Builder cacheEventLagMilliseconds(long value) {
            mCacheEventLagMilliseconds = value;
            return this;
        }

        /** Sets {@link EndpointFaults#cacheEventGapEvery()}; at least 2, or 0 for no gaps. */
        public Builder cacheEventGapEvery(int value) {
            mCacheEventGapEvery = value;
            return this;
        }

        /** Sets {@link EndpointFaults#ignoresFencing()}. */
        public Builder ignoresFencing(boolean value) {
            mIgnoresFencing = value;
            return this;
        }

        /** Returns the immutable faults. */
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
