package org.wasabilug.endpoint.internal.call;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.pekko.actor.Cancellable;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.javadsl.Sink;
import org.wasabilug.endpoint.wire.EndpointJson;
import org.wasabilug.endpoint.wire.StageCallBody;
import org.wasabilug.endpoint.wire.StreamEvent;
import org.wasabilug.internal.event.FailureKind;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.StageCall;

/** One attempt at an endpoint, from connecting to its final event. */
public final class RunningCall {
    private final StageCall mCall;
    private final String mResumeText;
    private final AnswerReader mReader;
    private final EndpointConnections mConnections;
    private final Consumer<InstanceEvent> mEvents;
    private final Consumer<RunningCall> mOnEnd;
    private final ReadingGate mGate = new ReadingGate();
    private CallConnection mConnection;
    private Cancellable mTimeout;
    private boolean mEnded;

    /**
     * Creates a call that has not started.
     *
     * @param call stage call to send
     * @param limits limits of the answer
     * @param connections connections to the endpoints
     * @param events receives the events of the attempt
     * @param onEnd called before the final event is delivered, or when the call is cancelled
     */
    public RunningCall(
            StageCall call,
            CallLimits limits,
            EndpointConnections connections,
            Consumer<InstanceEvent> events,
            Consumer<RunningCall> onEnd) {
        mCall = call;
        mResumeText =
                call.resumeOffset() <= limits.maximumResumeCharacters() ? call.resumeText() : "";
        mReader = new AnswerReader(call.protocol(), mResumeText.length(), limits);
        mConnections = connections;
        mEvents = events;
        mOnEnd = onEnd;
    }

    /** Connects and sends the call. */
    public synchronized void start() {
        if (mEnded) {
            return;
        }
        // An idle connection may already be closed by the endpoint, in which case it is unknown
        // whether the call was received. A call that must not be repeated uses a new connection.
        mConnection =
                mCall.repeatable()
                        ? mConnections.acquire(mCall.address())
                        : mConnections.open(mCall.address());
        mTimeout =
                mConnections
                        .actorSystem()
                        .classicSystem()
                        .scheduler()
                        .scheduleOnce(
                                Duration.ofNanos(Math.max(1, mCall.timeoutNanos())),
                                () ->
                                        fail(
                                                FailureKind.TIMED_OUT,
                                                "no complete answer within the timeout of the"
                                                        + " attempt"),
                                mConnections.actorSystem().classicSystem().dispatcher());
        mConnection.send(request(), new AnswerListener());
    }

    /** Closes the connection. No further event is delivered. */
    public synchronized void cancel() {
        if (endOnce() && mConnection != null) {
            mConnection.abort();
        }
    }

    /** Stops reading the answer. */
    public void pauseReading() {
        mGate.close();
    }

    /** Continues to read the answer. */
    public void resumeReading() {
        mGate.open();
    }

    private HttpRequest request() {
        StageCallBody body =
                new StageCallBody(
                        mCall.attempt().request().value(),
                        mCall.attempt().stage().value(),
                        mCall.attempt().number(),
                        mCall.input(),
                        mResumeText.length(),
                        mResumeText,
                        mCall.priority(),
                        TimeUnit.NANOSECONDS.toMillis(mCall.timeoutNanos()));
        return HttpRequest.POST(mCall.requestPath())
                .withEntity(ContentTypes.APPLICATION_JSON, EndpointJson.write(body));
    }

    private void read(HttpResponse response) {
        AnswerReader.loadReport(response)
                .ifPresent(
                        report ->
                                deliver(new InstanceEvent.LoadReported(mCall.endpoint(), report)));
        mReader.read(response)
                .mapAsync(1, mGate::pass)
                .runWith(Sink.foreach(this::deliver), mConnections.actorSystem())
                .whenComplete((done, failure) -> finishReading(failure));
    }

    private void reject(HttpResponse response) {
        response.discardEntityBytes(mConnections.actorSystem());
        fail(AnswerReader.failureKind(response), "status " + response.status().intValue());
    }

    private void finishReading(Throwable failure) {
        if (failure == null) {
            fail(FailureKind.CONNECTION_LOST, "the answer ended before its final event");
            mConnections.release(mCall.address(), mConnection);
        } else if (failure instanceof InvalidAnswerException invalid) {
            fail(invalid.kind(), invalid.getMessage());
        } else {
            fail(FailureKind.CONNECTION_LOST, failure.toString());
        }
    }

    private void deliver(StreamEvent event) {
        switch (event) {
            case StreamEvent.Chunk chunk ->
                    deliver(
                            new InstanceEvent.ChunkArrived(
                                    mCall.attempt(), chunk.offset(), chunk.text()));
            case StreamEvent.Done done -> finish(done);
        }
    }

    private synchronized void deliver(InstanceEvent event) {
        if (!mEnded) {
            mEvents.accept(event);
        }
    }

    private synchronized void finish(StreamEvent.Done done) {
        if (endOnce()) {
            mEvents.accept(new InstanceEvent.StageFinished(mCall.attempt(), done.length()));
        }
    }

    private synchronized void fail(FailureKind kind, String detail) {
        if (endOnce()) {
            mConnection.abort();
            mEvents.accept(new InstanceEvent.StageFailed(mCall.attempt(), kind, detail));
        }
    }

    private boolean endOnce() {
        if (mEnded) {
            return false;
        }
        mEnded = true;
        if (mTimeout != null) {
            mTimeout.cancel();
        }
        mOnEnd.accept(this);
        return true;
    }

    private final class AnswerListener implements ConnectionListener {
        @Override
        public void onResponse(HttpResponse response) {
            if (AnswerReader.hasResult(response)) {
                read(response);
            } else {
                reject(response);
            }
        }

        @Override
        public void onConnectionEnd(boolean neverConnected, String reason) {
            fail(
                    neverConnected ? FailureKind.CONNECTION_REFUSED : FailureKind.CONNECTION_LOST,
                    reason);
        }
    }
}
