package org.wasabilug.entry;

import java.time.Duration;

/**
 * Bounds on the resources that callers and operators may use.
 *
 * @param maximumBodyBytes maximum size of a caller's request body
 * @param maximumTicketBytes maximum size of a ticket
 * @param maximumHeaderBytes maximum size of one header value
 * @param maximumConnections maximum number of connections of each HTTP interface
 * @param maximumStreams maximum number of requests in flight
 * @param maximumDeadline maximum deadline of a request
 * @param callerBufferCharacters answer text buffered for a slow caller before its endpoints are
 *     paused
 * @param maximumAnswerCharacters maximum length of a buffered answer, and of the text queued for
 *     one caller
 * @param rememberedRequests number of earlier requests with an idempotency key whose state can be
 *     queried
 * @param rememberedDecisions number of decisions kept for explanations
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
     * Returns the default limits.
     *
     * @return the limits
     */
    public static EntryLimits defaults() {
        return builder().build();
    }

    /**
     * Returns a builder with the default limits.
     *
     * @return the builder
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
         * Sets {@link EntryLimits#maximumBodyBytes()}.
         *
         * @param value maximum in bytes
         * @return this builder
         */
        public Builder maximumBodyBytes(int value) {
            mMaximumBodyBytes = value;
            return this;
        }

        /**
         * Sets {@link EntryLimits#maximumTicketBytes()}.
         *
         * @param value maximum in bytes
         * @return this builder
         */
        public Builder maximumTicketBytes(int value) {
            mMaximumTicketBytes = value;
            return this;
        }

        /**
         * Sets {@link EntryLimits#maximumHeaderBytes()}.
         *
         * @param value maximum in bytes
         * @return this builder
         */
        public Builder maximumHeaderBytes(int value) {
            mMaximumHeaderBytes = value;
            return this;
        }

        /**
         * Sets {@link EntryLimits#maximumConnections()}.
         *
         * @param value number of connections
         * @return this builder
         */
        public Builder maximumConnections(int value) {
            mMaximumConnections = value;
            return this;
        }

        /**
         * Sets {@link EntryLimits#maximumStreams()}.
         *
         * @param value number of requests
         * @return this builder
         */
        public Builder maximumStreams(int value) {
            mMaximumStreams = value;
            return this;
        }

        /**
         * Sets {@link EntryLimits#maximumDeadline()}.
         *
         * @param value maximum deadline
         * @return this builder
         */
        public Builder maximumDeadline(Duration value) {
            mMaximumDeadline = value;
            return this;
        }

        /**
         * Sets {@link EntryLimits#callerBufferCharacters()}.
         *
         * @param value number of characters
         * @return this builder
         */
        public Builder callerBufferCharacters(int value) {
            mCallerBufferCharacters = value;
            return this;
        }

        /**
         * Sets {@link EntryLimits#maximumAnswerCharacters()}.
         *
         * @param value number of characters
         * @return this builder
         */
        public Builder maximumAnswerCharacters(int value) {
            mMaximumAnswerCharacters = value;
            return this;
        }

        /**
         * Sets {@link EntryLimits#rememberedRequests()}.
         *
         * @param value number of requests
         * @return this builder
         */
        public Builder rememberedRequests(int value) {
            mRememberedRequests = value;
            return this;
        }

        /**
         * Sets {@link EntryLimits#rememberedDecisions()}.
         *
         * @param value number of decisions
         * @return this builder
         */
        public Builder rememberedDecisions(int value) {
            mRememberedDecisions = value;
            return this;
        }

        /**
         * Builds the limits.
         *
         * @return immutable limits
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
