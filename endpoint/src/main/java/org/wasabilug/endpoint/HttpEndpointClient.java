package org.wasabilug.endpoint;

import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.wasabilug.endpoint.internal.call.CallLimits;
import org.wasabilug.endpoint.internal.call.EndpointConnections;
import org.wasabilug.endpoint.internal.call.EngineControl;
import org.wasabilug.endpoint.internal.call.LoadPoller;
import org.wasabilug.endpoint.internal.call.RunningCall;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.internal.event.EngineOrder;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.StageCall;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;

/** Calls endpoints over HTTP. A connection carries one call at a time. */
public final class HttpEndpointClient implements EndpointClient {
    private final ConcurrentHashMap<AttemptId, RunningCall> mRunning = new ConcurrentHashMap<>();
    private final EndpointConnections mConnections;
    private final CallLimits mLimits;
    private final LoadPoller mLoadPoller;
    private final EngineControl mEngineControl;

    private HttpEndpointClient(Builder builder) {
        mLimits =
                new CallLimits(
                        builder.mMaximumEventBytes,
                        builder.mMaximumBodyBytes,
                        builder.mMaximumResumeCharacters,
                        builder.mControlTimeout);
        mConnections = new EndpointConnections(builder.mActorSystem, builder.mConnectTimeout);
        mLoadPoller = new LoadPoller(mConnections, mLimits);
        mEngineControl = new EngineControl(mConnections, mLimits);
    }

    /**
     * Returns a builder with default limits; the actor system is required.
     *
     * @return the builder
     */
    public static Builder builder() {
        return new Builder();
    }

    @Override
    public void run(StageCall call, Consumer<InstanceEvent> events) {
        AttemptId attempt = call.attempt();
        RunningCall running =
                new RunningCall(
                        call,
                        mLimits,
                        mConnections,
                        events,
                        ended -> mRunning.remove(attempt, ended));
        mRunning.put(attempt, running);
        running.start();
    }

    @Override
    public void cancel(AttemptId attempt) {
        Optional.ofNullable(mRunning.remove(attempt)).ifPresent(RunningCall::cancel);
    }

    @Override
    public void pauseReading(AttemptId attempt) {
        Optional.ofNullable(mRunning.get(attempt)).ifPresent(RunningCall::pauseReading);
    }

    @Override
    public void resumeReading(AttemptId attempt) {
        Optional.ofNullable(mRunning.get(attempt)).ifPresent(RunningCall::resumeReading);
    }

    @Override
    public void poll(Endpoint endpoint, Consumer<InstanceEvent> events) {
        mLoadPoller.poll(endpoint, events);
    }

    @Override
    public void order(EngineOrder order, Consumer<InstanceEvent> events) {
        mEngineControl.order(order, events);
    }

    @Override
    public void readState(EndpointName endpoint, URI address, Consumer<InstanceEvent> events) {
        mEngineControl.readState(endpoint, address, events);
    }

    /** Cancels all running calls; does not terminate the actor system. */
    @Override
    public void close() {
        mRunning.keySet().forEach(this::cancel);
        mConnections.close();
    }

    /** Builds a {@link HttpEndpointClient}. */
    public static final class Builder {
        private ClassicActorSystemProvider mActorSystem;
        private Duration mConnectTimeout = Duration.ofSeconds(1);
        private Duration mControlTimeout = Duration.ofSeconds(2);
        private int mMaximumEventBytes = 1 << 20;
        private int mMaximumBodyBytes = 16 << 20;
        private int mMaximumResumeCharacters = 1 << 20;

        private Builder() {}

        /**
         * Sets the actor system that runs the calls. The client does not terminate it.
         *
         * @param value classic or typed actor system
         * @return this builder
         */
        public Builder actorSystem(ClassicActorSystemProvider value) {
            mActorSystem = value;
            return this;
        }

        /**
         * Sets the timeout for connecting.
         *
         * @param value positive duration
         * @return this builder
         */
        public Builder connectTimeout(Duration value) {
            mConnectTimeout = value;
            return this;
        }

        /**
         * Sets the timeout of a poll, an order or a read of an engine's state.
         *
         * @param value positive duration
         * @return this builder
         */
        public Builder controlTimeout(Duration value) {
            mControlTimeout = value;
            return this;
        }

        /**
         * Sets the maximum size of one event of a streamed answer.
         *
         * @param value size in bytes
         * @return this builder
         */
        public Builder maximumEventBytes(int value) {
            mMaximumEventBytes = value;
            return this;
        }

        /**
         * Sets the maximum size of a whole answer.
         *
         * @param value size in bytes
         * @return this builder
         */
        public Builder maximumBodyBytes(int value) {
            mMaximumBodyBytes = value;
            return this;
        }

        /**
         * Sets the maximum length of a partial result that is sent to the endpoint to be resumed.
         *
         * @param value length in characters; if the partial result is longer, the whole result is
         *     requested again
         * @return this builder
         */
        public Builder maximumResumeCharacters(int value) {
            mMaximumResumeCharacters = value;
            return this;
        }

        /**
         * Builds the client.
         *
         * @return client without running calls
         */
        public HttpEndpointClient build() {
            return new HttpEndpointClient(this);
        }
    }
}
