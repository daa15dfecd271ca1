package org.wasabilug.internal.instance;

import java.util.List;
import org.wasabilug.internal.deadline.QueueOrder;
import org.wasabilug.internal.routing.RoutingSettings;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;

/**
 * Settings of a decision core.
 *
 * @param name name of the instance
 * @param failureDomain failure domain of the instance
 * @param incarnation number of the process incarnation; increases with each restart of the instance
 * @param seed seed of the random number generator
 * @param peerSeeds addresses of peers to contact while the platform's instance list is unavailable
 * @param routing settings of endpoint selection
 * @param queueOrder order of waiting calls
 * @param queueCapacityPerPool maximum number of calls waiting for one pool
 */
public record InstanceSettings(
        InstanceName name,
        FailureDomainName failureDomain,
        long incarnation,
        long seed,
        List<String> peerSeeds,
        RoutingSettings routing,
        QueueOrder queueOrder,
        int queueCapacityPerPool) {
    private static final int DEFAULT_QUEUE_CAPACITY = 1_000;

    /** Copies the list. */
    public InstanceSettings {
        peerSeeds = List.copyOf(peerSeeds);
    }

    /**
     * Creates a builder.
     *
     * @return a builder with default values; name and failure domain have none
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds {@link InstanceSettings}. */
    public static final class Builder {
        private InstanceName mName;
        private FailureDomainName mFailureDomain;
        private long mIncarnation = 1;
        private long mSeed = 1;
        private List<String> mPeerSeeds = List.of();
        private RoutingSettings mRouting = RoutingSettings.builder().build();
        private QueueOrder mQueueOrder = new QueueOrder.LeastSlack();
        private int mQueueCapacityPerPool = DEFAULT_QUEUE_CAPACITY;

        private Builder() {}

        /**
         * Sets the name of the instance.
         *
         * @param value the name
         * @return this builder
         */
        public Builder name(InstanceName value) {
            mName = value;
            return this;
        }

        /**
         * Sets the failure domain of the instance.
         *
         * @param value name of the failure domain
         * @return this builder
         */
        public Builder failureDomain(FailureDomainName value) {
            mFailureDomain = value;
            return this;
        }

        /**
         * Sets the number of the process incarnation.
         *
         * @param value a number that increases with each restart; 1 by default
         * @return this builder
         */
        public Builder incarnation(long value) {
            mIncarnation = value;
            return this;
        }

        /**
         * Sets the seed of the random number generator.
         *
         * @param value the seed; 1 by default
         * @return this builder
         */
        public Builder seed(long value) {
            mSeed = value;
            return this;
        }

        /**
         * Sets the peers to contact while the platform's instance list is unavailable.
         *
         * @param value IP addresses with ports; empty by default
         * @return this builder
         */
        public Builder peerSeeds(List<String> value) {
            mPeerSeeds = value;
            return this;
        }

        /**
         * Sets how endpoints are selected.
         *
         * @param value the settings
         * @return this builder
         */
        public Builder routing(RoutingSettings value) {
            mRouting = value;
            return this;
        }

        /**
         * Sets the order of waiting calls.
         *
         * @param value the order; least slack first by default
         * @return this builder
         */
        public Builder queueOrder(QueueOrder value) {
            mQueueOrder = value;
            return this;
        }

        /**
         * Sets the capacity of the queue of each pool.
         *
         * @param value maximum number of waiting calls; 1,000 by default
         * @return this builder
         */
        public Builder queueCapacityPerPool(int value) {
            mQueueCapacityPerPool = value;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the immutable settings
         */
        public InstanceSettings build() {
            return new InstanceSettings(
                    mName,
                    mFailureDomain,
                    mIncarnation,
                    mSeed,
                    mPeerSeeds,
                    mRouting,
                    mQueueOrder,
                    mQueueCapacityPerPool);
        }
    }
}
