package org.wasabilug.standin;

import java.net.URI;
import java.time.Duration;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.wasabilug.internal.event.OrderOutcome;
import org.wasabilug.model.CallProtocol;
import org.wasabilug.port.LoadReport;
import org.wasabilug.standin.internal.endpoint.EndpointHandler;
import org.wasabilug.standin.internal.endpoint.EndpointLife;
import org.wasabilug.standin.internal.endpoint.EndpointSettings;
import org.wasabilug.standin.internal.http.LoopbackServer;
import org.wasabilug.standin.internal.http.OwnedSystem;

/** An endpoint that computes nothing, over HTTP. It counts the calls that it receives. */
public final class StandInEndpoint implements AutoCloseable {
    private final OwnedSystem mSystem;
    private final EndpointSettings mSettings;
    private final EndpointLife mLife;
    private final EndpointHandler mHandler;
    private final LoopbackServer mServer;

    private StandInEndpoint(Builder builder) {
        mSystem = OwnedSystem.orOwn(builder.mActorSystem, "standin-endpoint");
        mSettings = builder.settings();
        mLife = new EndpointLife(mSettings, System.nanoTime());
        mLife.setFaults(builder.mFaults);
        mHandler = new EndpointHandler(mSettings, mLife, mSystem.get());
        mServer =
                LoopbackServer.start(mSystem.get(), builder.mHost, builder.mPort, mHandler::handle);
    }

    /**
     * Starts building.
     *
     * @return a builder of a warm, streaming endpoint that answers at once
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Address of the endpoint.
     *
     * @return http with IP number and port
     */
    public URI baseUri() {
        return mServer.baseUri();
    }

    /**
     * Name of the endpoint.
     *
     * @return the name
     */
    public String name() {
        return mSettings.name();
    }

    /**
     * Replaces all faults.
     *
     * @param faults faults from now on
     */
    public void setFaults(EndpointFaults faults) {
        mLife.setFaults(faults);
    }

    /**
     * The faults of the moment.
     *
     * @return the faults as they were set
     */
    public EndpointFaults faults() {
        return mLife.faults();
    }

    /** Turns cold within the same generation, without a word. */
    public void turnCold() {
        mLife.turnCold(System.nanoTime());
    }

    /** Crashes: answers are cut, and a cold generation starts. */
    public void crash() {
        mLife.crash(System.nanoTime());
    }

    /**
     * What the endpoint has counted.
     *
     * @return counts since the start
     */
    public EndpointCounts counts() {
        return mLife.counts();
    }

    /**
     * Calls received for one stage of one request.
     *
     * @param request id of the request
     * @param stage name of the stage
     * @return how many
     */
    public int receivedCalls(String request, String stage) {
        return mLife.receivedOf(request, stage);
    }

    /**
     * The load at this moment, without lag.
     *
     * @return the report
     */
    public LoadReport load() {
        return mLife.load(System.nanoTime());
    }

    /**
     * What the engine serves.
     *
     * @return its state
     */
    public OrderOutcome.State engineState() {
        return mHandler.engine().current();
    }

    /**
     * Orders that the engine carried out.
     *
     * @return how many
     */
    public long orders() {
        return mHandler.engine().orders();
    }

    /**
     * The right result of a call.
     *
     * @param stage name of the stage
     * @param input input of the stage
     * @return the whole result
     */
    public String expectedResult(String stage, String input) {
        return mSettings.behaviour().answer(stage, input);
    }

    @Override
    public void close() {
        mServer.close();
        mSystem.close();
    }

    /** Builds and starts a {@link StandInEndpoint}. */
    public static final class Builder {
        private static final int DEFAULT_WORDS = 16;

        private ClassicActorSystemProvider mActorSystem;
        private String mHost = "127.0.0.1";
        private int mPort = 0;
        private String mName = "endpoint";
        private CallProtocol mProtocol = CallProtocol.STREAMED;
        private StageBehaviour mBehaviour = new WordAnswer(DEFAULT_WORDS);
        private int mColdLimit = 1;
        private int mConcurrency = 16;
        private boolean mFallsOver = false;
        private boolean mStartsCold = false;
        private Duration mColdStartTime = Duration.ofSeconds(5);
        private Duration mTimeToFirstToken = Duration.ZERO;
        private Duration mTimeBetweenTokens = Duration.ZERO;
        private long mGeneration = 1;
        private EndpointFaults mFaults = EndpointFaults.none();

        private Builder() {}

        /**
         * Sets the actor system; without one the stand-in runs and ends its own.
         *
         * @param value classic or typed actor system
         * @return this builder
         */
        public Builder actorSystem(ClassicActorSystemProvider value) {
            mActorSystem = value;
            return this;
        }

        /**
         * Sets the IP number to listen on.
         *
         * @param value IP number
         * @return this builder
         */
        public Builder host(String value) {
            mHost = value;
            return this;
        }

        /**
         * Sets the port to listen on.
         *
         * @param value port; 0 lets the system choose
         * @return this builder
         */
        public Builder port(int value) {
            mPort = value;
            return this;
        }

        /**
         * Sets the name.
         *
         * @param value name of the endpoint
         * @return this builder
         */
        public Builder name(String value) {
            mName = value;
            return this;
        }

        /**
         * Sets the shape of the answers.
         *
         * @param value streamed or whole
         * @return this builder
         */
        public Builder protocol(CallProtocol value) {
            mProtocol = value;
            return this;
        }

        /**
         * Sets how results are computed.
         *
         * @param value computes results
         * @return this builder
         */
        public Builder behaviour(StageBehaviour value) {
            mBehaviour = value;
            return this;
        }

        /**
         * Sets the load that a cold start bears.
         *
         * @param value calls in flight
         * @return this builder
         */
        public Builder coldLimit(int value) {
            mColdLimit = value;
            return this;
        }

        /**
         * Sets the load that is served at full speed when warm.
         *
         * @param value calls in flight
         * @return this builder
         */
        public Builder concurrency(int value) {
            mConcurrency = value;
            return this;
        }

        /**
         * Sets whether a call over the cold limit crashes the endpoint.
         *
         * @param value true to crash
         * @return this builder
         */
        public Builder fallsOver(boolean value) {
            mFallsOver = value;
            return this;
        }

        /**
         * Sets whether the first generation starts cold.
         *
         * @param value true to start cold
         * @return this builder
         */
        public Builder startsCold(boolean value) {
            mStartsCold = value;
            return this;
        }

        /**
         * Sets the length of a cold start.
         *
         * @param value a duration
         * @return this builder
         */
        public Builder coldStartTime(Duration value) {
            mColdStartTime = value;
            return this;
        }

        /**
         * Sets the time to the first chunk or to a whole answer.
         *
         * @param value a duration
         * @return this builder
         */
        public Builder timeToFirstToken(Duration value) {
            mTimeToFirstToken = value;
            return this;
        }

        /**
         * Sets the time between chunks.
         *
         * @param value a duration
         * @return this builder
         */
        public Builder timeBetweenTokens(Duration value) {
            mTimeBetweenTokens = value;
            return this;
        }

        /**
         * Sets the number of the first process life.
         *
         * @param value a number from 1
         * @return this builder
         */
        public Builder generation(long value) {
            mGeneration = value;
            return this;
        }

        /**
         * Sets the faults at the start.
         *
         * @param value faults
         * @return this builder
         */
        public Builder faults(EndpointFaults value) {
            mFaults = value;
            return this;
        }

        /**
         * Starts the stand-in; returns when it listens.
         *
         * @return the running stand-in
         */
        public StandInEndpoint start() {
            return new StandInEndpoint(this);
        }

        private EndpointSettings settings() {
            return new EndpointSettings(
                    mName,
                    mProtocol,
                    mBehaviour,
                    mColdLimit,
                    mConcurrency,
                    mFallsOver,
                    mStartsCold,
                    mColdStartTime.toNanos(),
                    mTimeToFirstToken.toNanos(),
                    mTimeBetweenTokens.toNanos(),
                    mGeneration);
        }
    }
}
