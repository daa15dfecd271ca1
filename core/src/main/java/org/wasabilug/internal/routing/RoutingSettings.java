package org.wasabilug.internal.routing;

import java.time.Duration;

/**
 * Settings of the router.
 *
 * @param style algorithm for choosing an endpoint
 * @param subsetSize maximum number of endpoints of one pool that an instance uses
 * @param crossDomainTime additional duration of a call to another failure domain
 * @param reportExpiry age at which a load report is disregarded
 * @param rampTime time until a returning endpoint receives its full share of the load
 * @param ejectionTime duration of an endpoint's first ejection
 * @param maximumEjectionTime maximum duration of an ejection
 * @param cacheEntries maximum number of prefixes recorded per endpoint
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
    /** Returns a builder with default values. */
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

        /** Sets the algorithm for choosing an endpoint. */
        public Builder style(RoutingStyle value) {
            mStyle = value;
            return this;
        }

        /** Sets the maximum number of endpoints of one pool that an instance uses. */
        public Builder subsetSize(int value) {
            mSubsetSize = value;
            return this;
        }

        /** Sets the additional duration of a call to another failure domain. */
        public Builder crossDomainTime(Duration value) {
            mCrossDomainTime = value;
            return this;
        }

        /** Sets the age at which a load report is disregarded. */
        public Builder reportExpiry(Duration value) {
            mReportExpiry = value;
            return this;
        }

        /** Sets the time until a returning endpoint receives its full share of the load. */
        public Builder rampTime(Duration value) {
            mRampTime = value;
            return this;
        }

        /** Sets the duration of an endpoint's first ejection. */
        public Builder ejectionTime(Duration value) {
            mEjectionTime = value;
            return this;
        }

        /** Sets the maximum duration of an ejection. */
        public Builder maximumEjectionTime(Duration value) {
            mMaximumEjectionTime = value;
            return this;
        }

        /** Sets the maximum number of prefixes recorded per endpoint. */
        public Builder cacheEntries(int value) {
            mCacheEntries = value;
            return this;
        }

        /** Builds the immutable settings. */
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
