package org.wasabilug.internal.event;

import java.net.URI;
import org.wasabilug.model.CallProtocol;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.Pool;

/**
 * A call that runs one attempt of a stage at an endpoint.
 *
 * @param attempt identity of the attempt
 * @param endpoint endpoint that runs the attempt
 * @param address base address of the endpoint
 * @param requestPath path of the HTTP request
 * @param protocol protocol of the response
 * @param input input of the stage
 * @param resumeText prefix of the result that was already received; empty for a first attempt
 * @param timeoutNanos timeout of the attempt, in nanoseconds
 * @param priority priority; 0 is the most urgent
 * @param repeatable false if the endpoint must receive this work at most once
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
     * Returns the offset in the result at which the attempt has to continue.
     *
     * @return length of the prefix already received, in characters
     */
    public int resumeOffset() {
        return resumeText.length();
    }

    /**
     * Creates a builder.
     *
     * @return a builder for a repeatable call without resume text
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
         * Sets the endpoint, which determines name and address.
         *
         * @param value the endpoint
         * @return this builder
         */
        public Builder endpoint(Endpoint value) {
            mEndpoint = value;
            return this;
        }

        /**
         * Sets the pool, which determines request path and protocol.
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
         * Sets the prefix of the result that was already received.
         *
         * @param value the prefix; empty by default
         * @return this builder
         */
        public Builder resumeText(String value) {
            mResumeText = value;
            return this;
        }

        /**
         * Sets the timeout of the attempt.
         *
         * @param value timeout in nanoseconds
         * @return this builder
         */
        public Builder timeoutNanos(long value) {
            mTimeoutNanos = value;
            return this;
        }

        /**
         * Sets the priority.
         *
         * @param value priority; 0 is the most urgent
         * @return this builder
         */
        public Builder priority(int value) {
            mPriority = value;
            return this;
        }

        /**
         * Sets whether the work may be repeated.
         *
         * @param value false if the endpoint must receive the work at most once
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
