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
        // Both directions pass the switch: closing the answers alone leaves the connection half
        // open, and the endpoint goes on working.
        Pair<
                        Pair<BoundedSourceQueue<HttpRequest>, CompletionStage<OutgoingConnection>>,
                        CompletionStage<Done>>
                running =
                        Source.<HttpRequest>queue(1)
                                .via(mKillSwitch.flow())
                                .viaMat(flow, Keep.both())
                                .via(mKillSwitch.flow())
                                .toMat(Sink.foreach(this::onResponse), Keep.both())
                                .run(actorSystem);
        mRequests = running.first().first();
        mConnected = running.first().second().toCompletableFuture();
        running.second().whenComplete((done, failure) -> onEnd(failure));
    }

    /** Sends a request; the user hears of the answer or of the connection's end. */
    void send(HttpRequest request, ConnectionListener user) {
        mListener.set(user);
        mRequests.offer(request);
        if (mEnded) {
            notifyEnd("the connection had ended");
        }
    }

    /** Parts with the user, who has read the whole answer. */
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
        ConnectionListener user = mListener.get();
        if (user == null) {
            abort();
        } else {
            user.onResponse(response);
        }
    }

    private void onEnd(Throwable failure) {
        mEnded = true;
        notifyEnd(failure == null ? "the endpoint closed the connection" : failure.toString());
    }

    private void notifyEnd(String reason) {
        ConnectionListener user = mListener.getAndSet(null);
        if (user != null) {
            mConnected.whenComplete(
                    (connection, refused) -> user.onConnectionEnd(refused != null, reason));
        }
    }
}
