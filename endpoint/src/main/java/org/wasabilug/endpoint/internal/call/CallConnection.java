package org.wasabilug.endpoint.internal.call;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.pekko.Done;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;

/** A connection that carries one call after another, never two at once. */
final class CallConnection {
    private final SharedKillSwitch mKillSwitch = KillSwitches.shared("connection");
    private final AtomicReference<ConnectionListener> mListener = new AtomicReference<>();
    private final BoundedSourceQueue<HttpRequest> mRequests;
    private final CompletableFuture<OutgoingConnection> mConnected;
    private volatile boolean mEnded;

    CallConnection(
            ClassicActorSystemProvider actorSystem,
            Flow<HttpRequest, HttpResponse, CompletionStage<OutgoingConnection>> flow) {
        // The kill switch covers both directions: aborting only the answers would leave the
        // connection half open, and the endpoint would continue to work.
        Pair<
                        Pair<BoundedSourceQueue<HttpRequest>, CompletionStage<OutgoingConnection>>,
                        CompletionStage<Done>>
                stream =
                        Source.<HttpRequest>queue(1)
                                .via(mKillSwitch.flow())
                                .viaMat(flow, Keep.both())
                                .via(mKillSwitch.flow())
                                .toMat(Sink.foreach(this::onResponse), Keep.both())
                                .run(actorSystem);
        mRequests = stream.first().first();
        mConnected = stream.first().second().toCompletableFuture();
        stream.second().whenComplete((done, failure) -> onEnd(failure));
    }

    /** Sends a request. The listener is notified of the answer or of the end of the connection. */
    void send(HttpRequest request, ConnectionListener listener) {
        mListener.set(listener);
        mRequests.offer(request);
        if (mEnded) {
            notifyEnd("the connection was already closed");
        }
    }

    /** Removes the listener after it has read the whole answer. */
    void detach() {
        mListener.set(null);
    }

    void abort() {
        mListener.set(null);
        mEnded = true;
        mKillSwitch.abort(new ConnectionAbortedException());
    }

    boolean isOpen() {
        return !mEnded;
    }

    private void onResponse(HttpResponse response) {
        ConnectionListener listener = mListener.get();
        if (listener == null) {
            abort();
        } else {
            listener.onResponse(response);
        }
    }

    private void onEnd(Throwable failure) {
        mEnded = true;
        notifyEnd(failure == null ? "the endpoint closed the connection" : failure.toString());
    }

    private void notifyEnd(String reason) {
        ConnectionListener listener = mListener.getAndSet(null);
        if (listener != null) {
            mConnected.whenComplete(
                    (connection, refused) -> listener.onConnectionEnd(refused != null, reason));
        }
    }
}
