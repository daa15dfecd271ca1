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

/** Endpoints whose answers the test gives; or, in echo mode, that answer with stage and input. */
public final class FakeEndpoints implements EndpointClient {
    private final BlockingQueue<StageCall> mCalls = new LinkedBlockingQueue<>();
    private final BlockingQueue<AttemptId> mCancelled = new LinkedBlockingQueue<>();
    private final BlockingQueue<AttemptId> mHeld = new LinkedBlockingQueue<>();
    private final BlockingQueue<AttemptId> mReleased = new LinkedBlockingQueue<>();
    private final Map<AttemptId, Consumer<InstanceEvent>> mEvents = new ConcurrentHashMap<>();
    private final boolean mEcho;

    /**
     * Creates the endpoints.
     *
     * @param echo true where they answer at once
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

    /** Calls that have started, oldest first. */
    public BlockingQueue<StageCall> calls() {
        return mCalls;
    }

    /** Attempts that were cancelled. */
    public BlockingQueue<AttemptId> cancelled() {
        return mCancelled;
    }

    /** Attempts that were held back. */
    public BlockingQueue<AttemptId> held() {
        return mHeld;
    }

    /** Attempts that were released. */
    public BlockingQueue<AttemptId> released() {
        return mReleased;
    }

    /** Delivers part of a result. */
    public void chunk(AttemptId attempt, int offset, String text) {
        mEvents.get(attempt).accept(new InstanceEvent.ChunkArrived(attempt, offset, text));
    }

    /** Ends a result. */
    public void finish(AttemptId attempt) {
        mEvents.get(attempt).accept(new InstanceEvent.StageFinished(attempt, 0));
    }

    @Override
    public void cancel(AttemptId attempt) {
        mCancelled.add(attempt);
    }

    @Override
    public void pauseReading(AttemptId attempt) {
        mHeld.add(attempt);
    }

    @Override
    public void resumeReading(AttemptId attempt) {
        mReleased.add(attempt);
    }

    @Override
    public void poll(Endpoint endpoint, Consumer<InstanceEvent> events) {
        // These endpoints report no load.
    }

    @Override
    public void order(EngineOrder order, Consumer<InstanceEvent> events) {
        // These endpoints take no orders.
    }

    @Override
    public void readState(EndpointName endpoint, URI address, Consumer<InstanceEvent> events) {
        // These endpoints have no state.
    }

    @Override
    public void close() {
        // Nothing is held.
    }
}
