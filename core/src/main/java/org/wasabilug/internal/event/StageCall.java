package org.wasabilug.internal.event;

import java.net.URI;
import org.wasabilug.model.CallProtocol;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.Pool;

/**
 * Everything that an adapter needs to run one attempt at an endpoint.
 *
 * @param attempt identity of the attempt
 * @param endpoint where to run it
 * @param address base address of the endpoint
 * @param requestPath path of the HTTP request
 * @param protocol shape of the answer
 * @param input input of the stage
 * @param resumeText beginning of the result that is already there; empty where there is none
 * @param timeoutNanos time left for the attempt, in nanoseconds
 * @param priority 0 for the most urgent, larger for less
 * @param repeatable false where the endpoint must see this work at most once
 */
public record StageCall(
        AttemptId attempt,
        EndpointName endpoint,
        URI address,
        String requestPath,
        CallProtocol protocol,
        String input,
        String resumeText,
        long timeoutNanos,
        int priority,
        boolean repeatable) {
    /**
     * Offset of the first character that the attempt has to make.
     *
     * @return characters that are already there
     */
    public int resumeOffset() {
        return resumeText.length();
    }

    /**
     * Starts building.
     *
     * @return a builder without values
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds a {@link StageCall}. */
    public static final class Builder {
        private AttemptId mAttempt;
        private Endpoint mEndpoint;
        private Pool mPool;
        private String mInput = "";
        private String mResumeText = "";
        private long mTimeoutNanos;
        private int mPriority;
        private boolean mRepeatable = true;

        private Builder() {}

        /**
         * Sets the identity of the attempt.
         *
         * @param value the attempt
         * @return this builder
         */
        public Builder attempt(AttemptId value) {
            mAttempt = value;
            return this;
        }

        /**
         * Sets where to run it.
         *
         * @param value the endpoint
         * @return this builder
         */
        public Builder endpoint(Endpoint value) {
            mEndpoint = value;
            return this;
        }

        /**
         * Sets the pool, which gives path and protocol.
         *
         * @param value the pool
         * @return this builder
         */
        public Builder pool(Pool value) {
            mPool = value;
            return this;
        }

        /**
         * Sets the input of the stage.
         *
         * @param value the input
         * @return this builder
         */
        public Builder input(String value) {
            mInput = value;
            return this;
        }

        /**
         * Sets the beginning of the result that is already there.
         *
         * @param value the text, empty at first
         * @return this builder
         */
        public Builder resumeText(String value) {
            mResumeText = value;
            return this;
        }

        /**
         * Sets the time left for the attempt.
         *
         * @param value in nanoseconds
         * @return this builder
         */
        public Builder timeoutNanos(long value) {
            mTimeoutNanos = value;
            return this;
        }

        /**
         * Sets the priority.
         *
         * @param value 0 for the most urgent
         * @return this builder
         */
        public Builder priority(int value) {
            mPriority = value;
            return this;
        }

        /**
         * Sets whether the work may be repeated.
         *
         * @param value false where the endpoint must see it at most once
         * @return this builder
         */
        public Builder repeatable(boolean value) {
            mRepeatable = value;
            return this;
        }

        /**
         * Builds the call.
         *
         * @return the immutable call
         */
        public StageCall build() {
            return new StageCall(
                    mAttempt,
                    mEndpoint.name(),
                    mEndpoint.address(),
                    mPool.requestPath(),
                    mPool.protocol(),
                    mInput,
                    mResumeText,
                    mTimeoutNanos,
                    mPriority,
                    mRepeatable);
        }
    }
}
