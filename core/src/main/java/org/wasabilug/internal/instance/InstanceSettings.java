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
 * @param failureDomain failure domain that holds it
 * @param incarnation number of this process's life; grows with each restart of the instance
 * @param seed seed of its random numbers
 * @param peerSeeds addresses of peers to try while the platform's list is not there
 * @param routing how endpoints are chosen
 * @param queueOrder order of waiting calls
 * @param queueCapacityPerPool most calls that wait for one pool
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
     * Starts building.
     *
     * @return a builder with the usual values
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
         * @param value its name
         * @return this builder
         */
        public Builder failureDomain(FailureDomainName value) {
            mFailureDomain = value;
            return this;
        }

        /**
         * Sets the number of this process's life.
         *
         * @param value grows with each restart
         * @return this builder
         */
        public Builder incarnation(long value) {
            mIncarnation = value;
            return this;
        }

        /**
         * Sets the seed of the random numbers.
         *
         * @param value the seed
         * @return this builder
         */
        public Builder seed(long value) {
            mSeed = value;
            return this;
        }

        /**
         * Sets addresses of peers.
         *
         * @param value IP numbers with ports
         * @return this builder
         */
        public Builder peerSeeds(List<String> value) {
            mPeerSeeds = value;
            return this;
        }

        /**
         * Sets how endpoints are chosen.
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
         * @param value the order
         * @return this builder
         */
        public Builder queueOrder(QueueOrder value) {
            mQueueOrder = value;
            return this;
        }

        /**
         * Sets the bound of each pool's queue.
         *
         * @param value most calls that wait
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
