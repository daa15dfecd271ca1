package org.wasabilug.endpoint.internal.call;

import java.net.URI;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.util.ByteString;

/** Sends a short request and reads the whole answer. */
final class ControlExchange {
    static final int OK = 200;
    static final int CONFLICT = 409;

    private final EndpointConnections mConnections;
    private final CallLimits mLimits;

    ControlExchange(EndpointConnections connections, CallLimits limits) {
        mConnections = connections;
        mLimits = limits;
    }

    /** Sends a request; fails if the whole answer does not arrive within the control timeout. */
    CompletionStage<ControlAnswer> send(URI address, HttpRequest request) {
        CompletableFuture<ControlAnswer> answer = new CompletableFuture<>();
        answer.orTimeout(mLimits.controlTimeout().toNanos(), TimeUnit.NANOSECONDS);
        CallConnection connection = mConnections.acquire(address);
        connection.send(request, new AnswerListener(answer));
        return answer.whenComplete(
                (controlAnswer, failure) -> {
                    if (failure == null) {
                        mConnections.release(address, connection);
                    } else {
                        connection.abort();
                    }
                });
    }

    /** Status code and body of an answer. */
    record ControlAnswer(int status, String body) {}

    private final class AnswerListener implements ConnectionListener {
        private final CompletableFuture<ControlAnswer> mAnswer;

        private AnswerListener(CompletableFuture<ControlAnswer> answer) {
            mAnswer = answer;
        }

        @Override
        public void onResponse(HttpResponse response) {
            response.entity()
                    .withSizeLimit(mLimits.maximumBodyBytes())
                    .getDataBytes()
                    .runWith(
                            Sink.fold(ByteString.emptyByteString(), ByteString::concat),
                            mConnections.actorSystem())
                    .whenComplete((body, failure) -> completeAnswer(response, body, failure));
        }

        @Override
        public void onConnectionEnd(boolean neverConnected, String reason) {
            mAnswer.completeExceptionally(new ConnectionAbortedException());
        }

        private void completeAnswer(HttpResponse response, ByteString body, Throwable failure) {
            if (failure == null) {
                int status = response.status().intValue();
                mAnswer.complete(new ControlAnswer(status, body.utf8String()));
            } else {
                mAnswer.completeExceptionally(failure);
            }
        }
    }
}
