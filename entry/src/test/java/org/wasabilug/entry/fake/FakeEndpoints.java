package org.wasabilug.entry.fake;

import java.net.URI;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import org.wasabilug.endpoint.EndpointClient;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.internal.event.EngineOrder;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.StageCall;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;

/**
 * Endpoints whose results the test delivers; in echo mode they answer with stage name and input.
 */
public final class FakeEndpoints implements EndpointClient {
    private final BlockingQueue<StageCall> mCalls = new LinkedBlockingQueue<>();
    private final BlockingQueue<AttemptId> mCancelled = new LinkedBlockingQueue<>();
    private final BlockingQueue<AttemptId> mPaused = new LinkedBlockingQueue<>();
    private final BlockingQueue<AttemptId> mResumed = new LinkedBlockingQueue<>();
    private final Map<AttemptId, Consumer<InstanceEvent>> mEvents = new ConcurrentHashMap<>();
    private final boolean mEcho;

    /**
     * Creates the endpoints.
     *
     * @param echo true to answer each call immediately
     */
    public FakeEndpoints(boolean echo) {
        mEcho = echo;
    }

    @Override
    public void run(StageCall call, Consumer<InstanceEvent> events) {
        mEvents.put(call.attempt(), events);
        mCalls.add(call);
        if (mEcho) {
            chunk(call.attempt(), 0, call.attempt().stage() + "(" + call.input() + ")");
            finish(call.attempt());
        }
    }

    /** Returns the started calls, oldest first. */
    public BlockingQueue<StageCall> calls() {
        return mCalls;
    }

    /** Returns the cancelled attempts. */
    public BlockingQueue<AttemptId> cancelled() {
        return mCancelled;
    }

    /** Returns the attempts whose answers are no longer read. */
    public BlockingQueue<AttemptId> paused() {
        return mPaused;
    }

    /** Returns the attempts whose answers are read again. */
    public BlockingQueue<AttemptId> resumed() {
        return mResumed;
    }

    /** Delivers part of a result. */
    public void chunk(AttemptId attempt, int offset, String text) {
        mEvents.get(attempt).accept(new InstanceEvent.ChunkArrived(attempt, offset, text));
    }

    /** Completes a result. */
    public void finish(AttemptId attempt) {
        mEvents.get(attempt).accept(new InstanceEvent.StageFinished(attempt, 0));
    }

    @Override
    public void cancel(AttemptId attempt) {
        mCancelled.add(attempt);
    }

    @Override
    public void pauseReading(AttemptId attempt) {
        mPaused.add(attempt);
    }

    @Override
    public void resumeReading(AttemptId attempt) {
        mResumed.add(attempt);
    }

    @Override
    public void poll(Endpoint endpoint, Consumer<InstanceEvent> events) {
        // The fake reports no load.
    }

    @Override
    public void order(EngineOrder order, Consumer<InstanceEvent> events) {
        // The fake executes no orders.
    }

    @Override
    public void readState(EndpointName endpoint, URI address, Consumer<InstanceEvent> events) {
        // The fake has no engine state.
    }

    @Override
    public void close() {
        // The fake holds no resources.
    }
}
