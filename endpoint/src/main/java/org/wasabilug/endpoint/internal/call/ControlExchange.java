package org.wasabilug.endpoint.internal.call;

import java.net.URI;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/** Sends one short request and reads its whole answer. */
final class ControlExchange {
    static final int OK = 200;
    static final int CONFLICT = 409;

    private final Connections mConnections;
    private final CallLimits mLimits;

    ControlExchange(Connections connections, CallLimits limits) {
        mConnections = connections;
        mLimits = limits;
    }

    CompletionStage<ControlAnswer> send(URI address, HttpRequest request) {
        return Source.single(request)
                .via(mConnections.open(address))
                .flatMapConcat(
                        response ->
                                response.entity()
                                        .withSizeLimit(mLimits.maximumBodyBytes())
                                        .getDataBytes()
                                        .fold(ByteString.emptyByteString(), ByteString::concat)
                                        .map(
                                                body ->
                                                        new ControlAnswer(
                                                                response.status().intValue(),
                                                                body.utf8String())))
                .completionTimeout(mLimits.controlTimeout())
                .runWith(Sink.head(), mConnections.actorSystem());
    }

    /** Status and body of an answer. */
    record ControlAnswer(int status, String body) {}
}
