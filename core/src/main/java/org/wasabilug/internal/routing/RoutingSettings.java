package org.wasabilug.internal.routing;

import java.time.Duration;

/**
 * Settings of the router.
 *
 * @param style way of choosing
 * @param subsetSize most endpoints of one pool that an instance uses
 * @param crossDomainTime added time of a call to another failure domain
 * @param reportExpiry age at which a load report no longer counts
 * @param rampTime how long an endpoint that came back takes to its full share
 * @param ejectionTime shortest ejection of an endpoint that keeps failing
 * @param maximumEjectionTime longest ejection
 * @param cacheEntries most prefixes remembered for one endpoint
 */
public record RoutingSettings(
        RoutingStyle style,
        int subsetSize,
        Duration crossDomainTime,
        Duration reportExpiry,
        Duration rampTime,
        Duration ejectionTime,
        Duration maximumEjectionTime,
        int cacheEntries) {
    /**
     * Starts building from the usual values.
     *
     * @return a builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds {@link RoutingSettings}. */
    public static final class Builder {
        private RoutingStyle mStyle = new RoutingStyle.Adaptive(3);
        private int mSubsetSize = 96;
        private Duration mCrossDomainTime = Duration.ofMillis(3);
        private Duration mReportExpiry = Duration.ofSeconds(10);
        private Duration mRampTime = Duration.ofSeconds(8);
        private Duration mEjectionTime = Duration.ofSeconds(5);
        private Duration mMaximumEjectionTime = Duration.ofSeconds(60);
        private int mCacheEntries = 512;

        private Builder() {}

        /**
         * Sets the value of {@link RoutingSettings#style()}.
         *
         * @param value way of choosing
         * @return this builder
         */
        public Builder style(RoutingStyle value) {
            mStyle = value;
            return this;
        }

        /**
         * Sets the value of {@link RoutingSettings#subsetSize()}.
         *
         * @param value most endpoints of one pool that an instance uses
         * @return this builder
         */
        public Builder subsetSize(int value) {
            mSubsetSize = value;
            return this;
        }

        /**
         * Sets the value of {@link RoutingSettings#crossDomainTime()}.
         *
         * @param value added time of a call to another failure domain
         * @return this builder
         */
        public Builder crossDomainTime(Duration value) {
            mCrossDomainTime = value;
            return this;
        }

        /**
         * Sets the value of {@link RoutingSettings#reportExpiry()}.
         *
         * @param value age at which a load report no longer counts
         * @return this builder
         */
        public Builder reportExpiry(Duration value) {
            mReportExpiry = value;
            return this;
        }

        /**
         * Sets the value of {@link RoutingSettings#rampTime()}.
         *
         * @param value how long an endpoint that came back takes to its full share
         * @return this builder
         */
        public Builder rampTime(Duration value) {
            mRampTime = value;
            return this;
        }

        /**
         * Sets the value of {@link RoutingSettings#ejectionTime()}.
         *
         * @param value shortest ejection
         * @return this builder
         */
        public Builder ejectionTime(Duration value) {
            mEjectionTime = value;
            return this;
        }

        /**
         * Sets the value of {@link RoutingSettings#maximumEjectionTime()}.
         *
         * @param value longest ejection
         * @return this builder
         */
        public Builder maximumEjectionTime(Duration value) {
            mMaximumEjectionTime = value;
            return this;
        }

        /**
         * Sets the value of {@link RoutingSettings#cacheEntries()}.
         *
         * @param value most prefixes remembered for one endpoint
         * @return this builder
         */
        public Builder cacheEntries(int value) {
            mCacheEntries = value;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the immutable settings
         */
        public RoutingSettings build() {
            return new RoutingSettings(
                    mStyle,
                    mSubsetSize,
                    mCrossDomainTime,
                    mReportExpiry,
                    mRampTime,
                    mEjectionTime,
                    mMaximumEjectionTime,
                    mCacheEntries);
        }
    }
}
