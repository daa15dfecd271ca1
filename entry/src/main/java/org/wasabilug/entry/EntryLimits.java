package org.wasabilug.entry;

import java.time.Duration;

/**
 * Bounds on what callers may make an instance hold.
 *
 * @param maximumBodyBytes largest body of a caller's request
 * @param maximumTicketBytes largest ticket of an operator
 * @param maximumHeaderBytes largest single header
 * @param maximumConnections most connections of each interface
 * @param maximumStreams most requests of callers in flight
 * @param maximumDeadline longest deadline that a caller may ask for
 * @param callerBufferCharacters answer text that waits for a slow reader before its stages are held
 * @param maximumAnswerCharacters longest whole answer
 * @param rememberedRequests earlier requests whose state can be asked for
 * @param rememberedDecisions latest decisions kept for explanations
 */
public record EntryLimits(
        int maximumBodyBytes,
        int maximumTicketBytes,
        int maximumHeaderBytes,
        int maximumConnections,
        int maximumStreams,
        Duration maximumDeadline,
        int callerBufferCharacters,
        int maximumAnswerCharacters,
        int rememberedRequests,
        int rememberedDecisions) {

    /**
     * Limits for an ordinary instance.
     *
     * @return the limits
     */
    public static EntryLimits defaults() {
        return builder().build();
    }

    /**
     * Starts building.
     *
     * @return a builder with the standard limits
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds {@link EntryLimits}. */
    public static final class Builder {
        private int mMaximumBodyBytes = 1_048_576;
        private int mMaximumTicketBytes = 16_777_216;
        private int mMaximumHeaderBytes = 8_192;
        private int mMaximumConnections = 4_096;
        private int mMaximumStreams = 4_096;
        private Duration mMaximumDeadline = Duration.ofMinutes(10);
        private int mCallerBufferCharacters = 65_536;
        private int mMaximumAnswerCharacters = 4_194_304;
        private int mRememberedRequests = 4_096;
        private int mRememberedDecisions = 16_384;

        private Builder() {}

        /**
         * Sets the value of {@link EntryLimits#maximumBodyBytes()}.
         *
         * @param value largest body, in bytes
         * @return this builder
         */
        public Builder maximumBodyBytes(int value) {
            mMaximumBodyBytes = value;
            return this;
        }

        /**
         * Sets the value of {@link EntryLimits#maximumTicketBytes()}.
         *
         * @param value largest ticket, in bytes
         * @return this builder
         */
        public Builder maximumTicketBytes(int value) {
            mMaximumTicketBytes = value;
            return this;
        }

        /**
         * Sets the value of {@link EntryLimits#maximumHeaderBytes()}.
         *
         * @param value largest header, in bytes
         * @return this builder
         */
        public Builder maximumHeaderBytes(int value) {
            mMaximumHeaderBytes = value;
            return this;
        }

        /**
         * Sets the value of {@link EntryLimits#maximumConnections()}.
         *
         * @param value most connections
         * @return this builder
         */
        public Builder maximumConnections(int value) {
            mMaximumConnections = value;
            return this;
        }

        /**
         * Sets the value of {@link EntryLimits#maximumStreams()}.
         *
         * @param value most requests in flight
         * @return this builder
         */
        public Builder maximumStreams(int value) {
            mMaximumStreams = value;
            return this;
        }

        /**
         * Sets the value of {@link EntryLimits#maximumDeadline()}.
         *
         * @param value longest deadline
         * @return this builder
         */
        public Builder maximumDeadline(Duration value) {
            mMaximumDeadline = value;
            return this;
        }

        /**
         * Sets the value of {@link EntryLimits#callerBufferCharacters()}.
         *
         * @param value characters that may wait
         * @return this builder
         */
        public Builder callerBufferCharacters(int value) {
            mCallerBufferCharacters = value;
            return this;
        }

        /**
         * Sets the value of {@link EntryLimits#maximumAnswerCharacters()}.
         *
         * @param value longest whole answer, in characters
         * @return this builder
         */
        public Builder maximumAnswerCharacters(int value) {
            mMaximumAnswerCharacters = value;
            return this;
        }

        /**
         * Sets the value of {@link EntryLimits#rememberedRequests()}.
         *
         * @param value how many requests
         * @return this builder
         */
        public Builder rememberedRequests(int value) {
            mRememberedRequests = value;
            return this;
        }

        /**
         * Sets the value of {@link EntryLimits#rememberedDecisions()}.
         *
         * @param value how many decisions
         * @return this builder
         */
        public Builder rememberedDecisions(int value) {
            mRememberedDecisions = value;
            return this;
        }

        /**
         * Builds the limits.
         *
         * @return the immutable limits
         */
        public EntryLimits build() {
            return new EntryLimits(
                    mMaximumBodyBytes,
                    mMaximumTicketBytes,
                    mMaximumHeaderBytes,
                    mMaximumConnections,
                    mMaximumStreams,
                    mMaximumDeadline,
                    mCallerBufferCharacters,
                    mMaximumAnswerCharacters,
                    mRememberedRequests,
                    mRememberedDecisions);
        }
    }
}
