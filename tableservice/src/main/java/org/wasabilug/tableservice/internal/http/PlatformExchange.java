package org.wasabilug.tableservice.internal.http;

import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.wasabilug.tableservice.wire.PlatformPaths;

/**
 * Sends each request on a separate connection.
 *
 * <p>This shows whether the request can have reached the service: it can't if the connection was
 * never established. A connection pool would hide that.
 */
public final class PlatformExchange {
    private final ClassicActorSystemProvider mActorSystem;
    private final URI mBaseUri;
    private final String mInstanceName;
    private final Duration mTimeout;
    private final long mMaximumBodyBytes;
    private final ClientConnectionSettings mSettings;

    /**
     * Creates the exchange.
     *
     * @param actorSystem runs the streams
     * @param baseUri address of the service
     * @param instanceName name sent with each request; empty to send none
     * @param timeout time limit from connecting to the end of the answer's body
     * @param maximumBodyBytes maximum size of an answer's body
     */
    public PlatformExchange(
            ClassicActorSystemProvider actorSystem,
            URI baseUri,
            String instanceName,
            Duration timeout,
            long maximumBodyBytes) {
        mActorSystem = actorSystem;
        mBaseUri = baseUri;
        mInstanceName = instanceName;
        mTimeout = timeout;
        mMaximumBodyBytes = maximumBodyBytes;
        mSettings =
                ClientConnectionSettings.create(actorSystem.classicSystem())
                        .withConnectingTimeout(timeout);
    }

    /**
     * Sends a request.
     *
     * @param request request with a path relative to the base address
     * @return completes normally with the result
     */
    public CompletionStage<ExchangeResult> send(HttpRequest request) {
        // The kill switch covers both directions: ending only the answer would leave the connection
        // half open.
        SharedKillSwitch killSwitch = KillSwitches.shared("exchange");
        Pair<CompletionStage<OutgoingConnection>, CompletionStage<ExchangeResult>> stream =
                Source.single(withHeaders(request))
                        .concat(Source.maybe())
                        .via(killSwitch.flow())
                        .viaMat(connection(), Keep.right())
                        .flatMapConcat(this::readWhole)
                        .completionTimeout(mTimeout)
                        .toMat(Sink.head(), Keep.both())
                        .run(mActorSystem);
        return stream.second()
                .whenComplete((result, failure) -> killSwitch.abort(new ExchangeEndedException()))
                .exceptionallyCompose(failure -> resultOfFailure(stream.first(), failure));
    }

    private Flow<HttpRequest, HttpResponse, CompletionStage<OutgoingConnection>> connection() {
        return Http.get(mActorSystem)
                .connectionTo(mBaseUri.getHost())
                .toPort(mBaseUri.getPort())
                .withClientConnectionSettings(mSettings)
                .http();
    }

    private HttpRequest withHeaders(HttpRequest request) {
        return mInstanceName.isEmpty()
                ? request
                : request.addHeader(RawHeader.create(PlatformPaths.INSTANCE_HEADER, mInstanceName));
    }

    private Source<ExchangeResult, Object> readWhole(HttpResponse response) {
        return response.entity()
                .withSizeLimit(mMaximumBodyBytes)
                .getDataBytes()
                .fold(ByteString.emptyByteString(), ByteString::concat)
                .map(
                        body ->
                                new ExchangeResult.Answered(
                                        response.status().intValue(), body.utf8String()));
    }

    private static CompletionStage<ExchangeResult> resultOfFailure(
            CompletionStage<OutgoingConnection> connected, Throwable failure) {
        return connected.handle(
                (connection, refused) ->
                        refused == null
                                ? new ExchangeResult.Unanswered(failure.toString())
                                : new ExchangeResult.NotSent(failure.toString()));
    }
}
