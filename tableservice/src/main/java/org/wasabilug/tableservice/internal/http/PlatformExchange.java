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
 * Sends one request on a connection of its own.
 *
 * <p>A connection that carries nothing else tells whether the request can have reached the service:
 * it cannot where the connection was never made. A pool would hide that.
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
     * @param instanceName sent with each request; empty sends none
     * @param timeout longest time from connecting to the end of the body
     * @param maximumBodyBytes largest body that is read
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
     * @return completes normally with what came of it
     */
    public CompletionStage<ExchangeResult> send(HttpRequest request) {
        // Both directions pass the switch: ending the answer alone leaves the connection half open.
        SharedKillSwitch stop = KillSwitches.shared("exchange");
        Pair<CompletionStage<OutgoingConnection>, CompletionStage<ExchangeResult>> running =
                Source.single(withHeaders(request))
                        .concat(Source.maybe())
                        .via(stop.flow())
                        .viaMat(connection(), Keep.right())
                        .flatMapConcat(this::readWhole)
                        .completionTimeout(mTimeout)
                        .toMat(Sink.head(), Keep.both())
                        .run(mActorSystem);
        return running.second()
                .whenComplete((result, failure) -> stop.abort(new ExchangeEndedException()))
                .exceptionallyCompose(failure -> resultOfFailure(running.first(), failure));
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
