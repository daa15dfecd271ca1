package org.wasabilug.standin;

import java.net.URI;
import java.time.Duration;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.wasabilug.internal.event.OrderOutcome;
import org.wasabilug.model.CallProtocol;
import org.wasabilug.port.LoadReport;
import org.wasabilug.standin.internal.endpoint.EndpointHandler;
import org.wasabilug.standin.internal.endpoint.EndpointLifecycle;
import org.wasabilug.standin.internal.endpoint.EndpointSettings;
import org.wasabilug.standin.internal.http.ActorSystemHolder;
import org.wasabilug.standin.internal.http.StandInServer;

/**
 * Simulated endpoint over HTTP: answers stage calls with generated text, at a configurable pace and
 * with injectable faults, and counts the calls it receives.
 */
public final class StandInEndpoint implements AutoCloseable {
    private final ActorSystemHolder mSystem;
    private final EndpointSettings mSettings;
    private final EndpointLifecycle mLifecycle;
    private final EndpointHandler mHandler;
    private final StandInServer mServer;

    private StandInEndpoint(Builder builder) {
        mSystem = ActorSystemHolder.borrowOrStart(builder.mActorSystem, "standin-endpoint");
        mSettings = builder.settings();
        mLifecycle = new EndpointLifecycle(mSettings, System.nanoTime());
        mLifecycle.setFaults(builder.mFaults);
        mHandler = new EndpointHandler(mSettings, mLifecycle, mSystem.get());
        mServer =
                StandInServer.start(mSystem.get(), builder.mHost, builder.mPort, mHandler::handle);
    }

    /** Returns a builder of a warm, streaming endpoint that answers without delay. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the address of the endpoint: http with IP address and port. */
    public URI baseUri() {
        return mServer.baseUri();
    }

    /** Returns the name of the endpoint. */
    public String name() {
        return mSettings.name();
    }

    /** Replaces all faults. */
    public void setFaults(EndpointFaults faults) {
        mLifecycle.setFaults(faults);
    }

    /** Returns the current faults. */
    public EndpointFaults faults() {
        return mLifecycle.faults();
    }

    /** Begins a cold start within the same generation, without notifying anyone. */
    public void turnCold() {
        mLifecycle.turnCold(System.nanoTime());
    }

    /** Crashes the endpoint: aborts all answers and starts a new, cold generation. */
    public void crash() {
        mLifecycle.crash(System.nanoTime());
    }

    /** Returns the counters since the start. */
    public EndpointCounts counts() {
        return mLifecycle.counts();
    }

    /** Returns the number of calls received for one stage of one request. */
    public int receivedCalls(String request, String stage) {
        return mLifecycle.receivedCalls(request, stage);
    }

    /** Returns the current load, unaffected by faults such as report lag. */
    public LoadReport load() {
        return mLifecycle.load(System.nanoTime());
    }

    /** Returns what the engine currently serves. */
    public OrderOutcome.State engineState() {
        return mHandler.engine().current();
    }

    /** Returns the number of orders that the engine has applied. */
    public long appliedOrders() {
        return mHandler.engine().appliedOrders();
    }

    /** Returns the complete, correct result of a call with this stage name and input. */
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
         * Sets the classic or typed actor system; without one the stand-in starts its own and
         * terminates it on close.
         */
        public Builder actorSystem(ClassicActorSystemProvider value) {
            mActorSystem = value;
            return this;
        }

        /** Sets the IP address to listen on. */
        public Builder host(String value) {
            mHost = value;
            return this;
        }

        /** Sets the port to listen on; 0 lets the operating system choose one. */
        public Builder port(int value) {
            mPort = value;
            return this;
        }

        /** Sets the name of the endpoint. */
        public Builder name(String value) {
            mName = value;
            return this;
        }

        /** Sets whether answers are streamed or sent whole. */
        public Builder protocol(CallProtocol value) {
            mProtocol = value;
            return this;
        }

        /** Sets how results are computed. */
        public Builder behaviour(StageBehaviour value) {
            mBehaviour = value;
            return this;
        }

        /**
         * Sets the maximum number of calls in flight that the endpoint can handle during cold
         * start.
         */
        public Builder coldLimit(int value) {
            mColdLimit = value;
            return this;
        }

        /** Sets the number of calls in flight that a warm endpoint serves at full speed. */
        public Builder concurrency(int value) {
            mConcurrency = value;
            return this;
        }

        /** Sets whether a call that exceeds the cold limit crashes the endpoint. */
        public Builder fallsOver(boolean value) {
            mFallsOver = value;
            return this;
        }

        /** Sets whether the first generation starts cold. */
        public Builder startsCold(boolean value) {
            mStartsCold = value;
            return this;
        }

        /** Sets the duration of a cold start. */
        public Builder coldStartTime(Duration value) {
            mColdStartTime = value;
            return this;
        }

        /** Sets the delay before the first chunk, or before the answer if it is sent whole. */
        public Builder timeToFirstToken(Duration value) {
            mTimeToFirstToken = value;
            return this;
        }

        /** Sets the delay between chunks. */
        public Builder timeBetweenTokens(Duration value) {
            mTimeBetweenTokens = value;
            return this;
        }

        /** Sets the number of the first generation, from 1. */
        public Builder generation(long value) {
            mGeneration = value;
            return this;
        }

        /** Sets the initial faults. */
        public Builder faults(EndpointFaults value) {
            mFaults = value;
            return this;
        }

        /** Starts the stand-in and returns once it is listening. */
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
