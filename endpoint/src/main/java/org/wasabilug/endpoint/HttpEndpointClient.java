package org.wasabilug.endpoint;

import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.wasabilug.endpoint.internal.call.CallLimits;
import org.wasabilug.endpoint.internal.call.Connections;
import org.wasabilug.endpoint.internal.call.EnginePort;
import org.wasabilug.endpoint.internal.call.LoadPort;
import org.wasabilug.endpoint.internal.call.RunningCall;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.internal.event.EngineOrder;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.StageCall;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;

/** Calls to endpoints over HTTP; a connection carries one call at a time. */
public final class HttpEndpointClient implements EndpointClient {
    private final ConcurrentHashMap<AttemptId, RunningCall> mRunning = new ConcurrentHashMap<>();
    private final Connections mConnections;
    private final CallLimits mLimits;
    private final LoadPort mLoadPort;
    private final EnginePort mEnginePort;

    private HttpEndpointClient(Builder builder) {
        mLimits =
                new CallLimits(
                        builder.mMaximumEventBytes,
                        builder.mMaximumBodyBytes,
                        builder.mMaximumResumeCharacters,
                        builder.mControlTimeout);
        mConnections = new Connections(builder.mActorSystem, builder.mConnectTimeout);
        mLoadPort = new LoadPort(mConnections, mLimits);
        mEnginePort = new EnginePort(mConnections, mLimits);
    }

    /**
     * Starts building.
     *
     * @return a builder with default limits
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
        Optional.ofNullable(mRunning.get(attempt)).ifPresent(RunningCall::hold);
    }

    @Override
    public void resumeReading(AttemptId attempt) {
        Optional.ofNullable(mRunning.get(attempt)).ifPresent(RunningCall::release);
    }

    @Override
    public void poll(Endpoint endpoint, Consumer<InstanceEvent> events) {
        mLoadPort.poll(endpoint, events);
    }

    @Override
    public void order(EngineOrder order, Consumer<InstanceEvent> events) {
        mEnginePort.order(order, events);
    }

    @Override
    public void readState(EndpointName endpoint, URI address, Consumer<InstanceEvent> events) {
        mEnginePort.readState(endpoint, address, events);
    }

    /** Cancels every running call; the actor system goes on. */
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
         * Sets the actor system that runs the calls; the client does not end it.
         *
         * @param value classic or typed actor system
         * @return this builder
         */
        public Builder actorSystem(ClassicActorSystemProvider value) {
            mActorSystem = value;
            return this;
        }

        /**
         * Sets the longest time to make a connection.
         *
         * @param value a positive duration
         * @return this builder
         */
        public Builder connectTimeout(Duration value) {
            mConnectTimeout = value;
            return this;
        }

        /**
         * Sets the longest time of a poll, an order or a read of an engine's state.
         *
         * @param value a positive duration
         * @return this builder
         */
        public Builder controlTimeout(Duration value) {
            mControlTimeout = value;
            return this;
        }

        /**
         * Sets the size of the largest event of a stream that is read.
         *
         * @param value bytes
         * @return this builder
         */
        public Builder maximumEventBytes(int value) {
            mMaximumEventBytes = value;
            return this;
        }

        /**
         * Sets the size of the largest whole answer that is read.
         *
         * @param value bytes
         * @return this builder
         */
        public Builder maximumBodyBytes(int value) {
            mMaximumBodyBytes = value;
            return this;
        }

        /**
         * Sets the longest beginning of a result that is sent to be continued.
         *
         * @param value characters; after a longer beginning the whole result is asked for again
         * @return this builder
         */
        public Builder maximumResumeCharacters(int value) {
            mMaximumResumeCharacters = value;
            return this;
        }

        /**
         * Builds the client.
         *
         * @return the client
         */
        public HttpEndpointClient build() {
            return new HttpEndpointClient(this);
        }
    }
}
