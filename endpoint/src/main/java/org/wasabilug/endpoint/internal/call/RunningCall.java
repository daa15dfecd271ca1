package org.wasabilug.endpoint.internal.call;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.apache.pekko.Done;
import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.wasabilug.endpoint.wire.EndpointJson;
import org.wasabilug.endpoint.wire.StageCallBody;
import org.wasabilug.endpoint.wire.StreamEvent;
import org.wasabilug.internal.event.FailureKind;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.StageCall;

/** One attempt at an endpoint, from connecting to its one final event. */
public final class RunningCall {
    private final StageCall mCall;
    private final AnswerReader mReader;
    private final Consumer<InstanceEvent> mEvents;
    private final Consumer<RunningCall> mOnEnd;
    private final ReadingGate mGate = new ReadingGate();
    private final SharedKillSwitch mStop;
    private boolean mEnded;

    /**
     * Creates a call that has not started.
     *
     * @param call what to run
     * @param limits bounds of what is read
     * @param events receives the events of the attempt
     * @param onEnd told before the final event
     */
    public RunningCall(
            StageCall call,
            CallLimits limits,
            Consumer<InstanceEvent> events,
            Consumer<RunningCall> onEnd) {
        mCall = call;
        mReader = new AnswerReader(call.protocol(), call.resumeOffset(), limits);
        mEvents = events;
        mOnEnd = onEnd;
        mStop = KillSwitches.shared("attempt");
    }

    /**
     * Connects and sends the call.
     *
     * @param connections makes the connection
     */
    public void start(Connections connections) {
        Pair<CompletionStage<OutgoingConnection>, CompletionStage<Done>> running =
                Source.single(request())
                        .viaMat(connections.open(mCall.address()), Keep.right())
                        .flatMapConcat(this::readAnswer)
                        .completionTimeout(Duration.ofNanos(Math.max(1, mCall.timeoutNanos())))
                        .via(mStop.flow())
                        .toMat(Sink.foreach(this::deliver), Keep.both())
                        .run(connections.actorSystem());
        CompletableFuture<OutgoingConnection> connected = running.first().toCompletableFuture();
        running.second().whenComplete((done, failure) -> finish(connected, failure));
    }

    /** Closes the connection; no further event is delivered. */
    public void cancel() {
        end(null);
        mStop.shutdown();
    }

    /** Stops reading. */
    public void hold() {
        mGate.close();
    }

    /** Goes on reading. */
    public void release() {
        mGate.open();
    }

    private HttpRequest request() {
        StageCallBody body =
                new StageCallBody(
                        mCall.attempt().request().value(),
                        mCall.attempt().stage().value(),
                        mCall.attempt().number(),
                        mCall.input(),
                        mCall.resumeOffset(),
                        mCall.priority(),
                        TimeUnit.NANOSECONDS.toMillis(mCall.timeoutNanos()));
        return HttpRequest.POST(mCall.requestPath())
                .withEntity(ContentTypes.APPLICATION_JSON, EndpointJson.write(body));
    }

    private Source<StreamEvent, NotUsed> readAnswer(HttpResponse response) {
        AnswerReader.loadReport(response)
                .ifPresent(
                        report ->
                                deliver(new InstanceEvent.LoadReported(mCall.endpoint(), report)));
        return mReader.read(response).mapAsync(1, mGate::pass);
    }

    private void deliver(StreamEvent event) {
        switch (event) {
            case StreamEvent.Chunk chunk ->
                    deliver(
                            new InstanceEvent.ChunkArrived(
                                    mCall.attempt(), chunk.offset(), chunk.text()));
            case StreamEvent.Done done -> {
                end(new InstanceEvent.StageFinished(mCall.attempt(), done.length()));
                mStop.shutdown();
            }
        }
    }

    private synchronized void deliver(InstanceEvent event) {
        if (!mEnded) {
            mEvents.accept(event);
        }
    }

    private void finish(CompletableFuture<OutgoingConnection> connected, Throwable failure) {
        String detail =
                failure == null ? "the answer ended before its last event" : failure.toString();
        end(new InstanceEvent.StageFailed(mCall.attempt(), kind(connected, failure), detail));
    }

    private static FailureKind kind(
            CompletableFuture<OutgoingConnection> connected, Throwable failure) {
        if (connected.isCompletedExceptionally()) {
            return FailureKind.CONNECTION_REFUSED;
        }
        return switch (failure) {
            case CallRefusedException refused -> refused.kind();
            case TimeoutException timeout -> FailureKind.TIMED_OUT;
            case null, default -> FailureKind.CONNECTION_LOST;
        };
    }

    private synchronized void end(InstanceEvent lastEvent) {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mOnEnd.accept(this);
        if (lastEvent != null) {
            mEvents.accept(lastEvent);
        }
    }
}
