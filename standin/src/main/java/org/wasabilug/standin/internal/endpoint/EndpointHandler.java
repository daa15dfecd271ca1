package org.wasabilug.standin.internal.endpoint;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.wasabilug.endpoint.wire.EndpointJson;
import org.wasabilug.endpoint.wire.EndpointPaths;
import org.wasabilug.endpoint.wire.StageCallBody;
import org.wasabilug.endpoint.wire.StateOrder;
import org.wasabilug.internal.event.OrderOutcome;
import org.wasabilug.model.CallProtocol;
import org.wasabilug.port.PrefixHashes;
import org.wasabilug.standin.EndpointFaults;
import org.wasabilug.standin.internal.http.HttpResponses;

/**
 * Handles an endpoint's HTTP requests. Every path other than those of reports, engine state, faults
 * and counters accepts stage calls.
 */
public final class EndpointHandler {
    /** Path to read (GET) and replace (any other method) the faults. */
    public static final String FAULTS_PATH = "/faults";

    /** Path that begins a cold start. */
    public static final String TURN_COLD_PATH = "/faults/turn-cold";

    /** Path that crashes the endpoint. */
    public static final String CRASH_PATH = "/faults/crash";

    /** Path to read the endpoint's counters. */
    public static final String COUNTS_PATH = "/counts";

    private static final int CACHE_CAPACITY_PREFIXES = 2048;

    private final EndpointSettings mSettings;
    private final EndpointLifecycle mLifecycle;
    private final EngineState mEngine = new EngineState();
    private final PrefixCache mCache = new PrefixCache(CACHE_CAPACITY_PREFIXES);
    private final ClassicActorSystemProvider mActorSystem;

    /**
     * Creates the handler.
     *
     * @param settings fixed properties
     * @param lifecycle generations, calls in flight and faults of the endpoint
     * @param actorSystem runs the streams that read request bodies
     */
    public EndpointHandler(
            EndpointSettings settings,
            EndpointLifecycle lifecycle,
            ClassicActorSystemProvider actorSystem) {
        mSettings = settings;
        mLifecycle = lifecycle;
        mActorSystem = actorSystem;
    }

    /** Returns the engine's state, which orders change. */
    public EngineState engine() {
        return mEngine;
    }

    /** Handles a request, subject to the faults. */
    public CompletionStage<HttpResponse> handle(HttpRequest request) {
        boolean isGet = request.method().equals(HttpMethods.GET);
        return switch (request.getUri().path()) {
            case EndpointPaths.LOAD -> completed(json(mLifecycle.report(System.nanoTime())));
            case EndpointPaths.CACHE_EVENTS -> completed(cacheEvents(request));
            case EndpointPaths.STATE ->
                    isGet
                            ? completed(json(mEngine.current()))
                            : withBody(request, this::applyOrder);
            case FAULTS_PATH ->
                    isGet
                            ? completed(json(mLifecycle.faults()))
                            : withBody(request, this::handleFaults);
            case TURN_COLD_PATH -> completed(turnCold());
            case CRASH_PATH -> completed(crash());
            case COUNTS_PATH -> completed(json(mLifecycle.counts()));
            default -> HttpResponses.withBody(request, mActorSystem, this::handleCall);
        };
    }

    private CompletionStage<HttpResponse> handleCall(String body) {
        return EndpointJson.read(body, StageCallBody.class)
                .filter(this::hasMatchingResumeText)
                .map(this::run)
                .orElseGet(() -> completed(HttpResponses.empty(HttpResponses.BAD_REQUEST)));
    }

    /**
     * Checks that the text to resume from is the beginning of the result of this call; otherwise it
     * belongs to another call.
     */
    private boolean hasMatchingResumeText(StageCallBody call) {
        return call.offset() == call.resumeText().length()
                && mSettings
                        .behaviour()
                        .answer(call.stage(), call.input())
                        .startsWith(call.resumeText());
    }

    private CompletionStage<HttpResponse> run(StageCallBody call) {
        EndpointFaults faults = mLifecycle.faults();
        return switch (mLifecycle.admit(call)) {
            case Admission.Refused refused -> completed(refusal());
            case Admission.Accepted accepted when faults.failing() ->
                    completed(HttpResponses.empty(HttpResponses.SERVER_ERROR));
            case Admission.Accepted accepted when faults.silent() ->
                    completed(stream(ResponseStream.heartbeatsOnly(), accepted));
            case Admission.Accepted accepted -> completed(answerCall(call, accepted, faults));
        };
    }

    private HttpResponse answerCall(
            StageCallBody call, Admission.Accepted accepted, EndpointFaults faults) {
        long nowNanos = System.nanoTime();
        mCache.recordUse(accepted.generation().number(), PrefixHashes.of(call.input()), nowNanos);
        String text = mSettings.behaviour().answer(call.stage(), call.input());
        ResponseStream stream = new ResponseStream(mSettings, accepted.paceFactor(), faults);
        Source<ByteString, NotUsed> bytes =
                mSettings.protocol() == CallProtocol.STREAMED
                        ? stream.streamed(text, call.offset())
                        : stream.whole(text);
        return stream(bytes, accepted);
    }

    private HttpResponse stream(Source<ByteString, NotUsed> bytes, Admission.Accepted accepted) {
        return HttpResponse.create()
                .addHeader(loadHeader(System.nanoTime()))
                .withEntity(
                        HttpEntities.create(
                                contentType(),
                                bytes.via(new InFlightTracker(mLifecycle, accepted))));
    }

    private HttpResponse refusal() {
        return HttpResponses.empty(HttpResponses.TOO_MANY_REQUESTS)
                .addHeader(RawHeader.create(EndpointPaths.NOT_RUN_HEADER, "true"))
                .addHeader(loadHeader(System.nanoTime()));
    }

    private RawHeader loadHeader(long nowNanos) {
        return RawHeader.create(
                EndpointPaths.LOAD_HEADER, EndpointJson.write(mLifecycle.report(nowNanos)));
    }

    private ContentType contentType() {
        return mSettings.protocol() == CallProtocol.STREAMED
                ? MediaTypes.TEXT_EVENT_STREAM.toContentType()
                : ContentTypes.APPLICATION_JSON;
    }

    private HttpResponse cacheEvents(HttpRequest request) {
        long after =
                request.getUri()
                        .query()
                        .get(EndpointPaths.AFTER_PARAMETER)
                        .map(com.google.common.primitives.Longs::tryParse)
                        .orElse(0L);
        long nowNanos = System.nanoTime();
        long generation = mLifecycle.load(nowNanos).generation();
        return json(mCache.eventsAfter(generation, after, mLifecycle.faults(), nowNanos));
    }

    private HttpResponse applyOrder(String body) {
        boolean checksFencing = !mLifecycle.faults().ignoresFencing();
        return EndpointJson.read(body, StateOrder.class)
                .map(order -> mEngine.apply(order, checksFencing))
                .map(EndpointHandler::orderResponse)
                .orElseGet(() -> HttpResponses.empty(HttpResponses.BAD_REQUEST));
    }

    private static HttpResponse orderResponse(OrderOutcome outcome) {
        int status =
                outcome instanceof OrderOutcome.StaleFencing
                        ? HttpResponses.CONFLICT
                        : HttpResponses.OK;
        return HttpResponses.json(status, EndpointJson.write(outcome));
    }

    private HttpResponse handleFaults(String body) {
        return EndpointJson.read(body, EndpointFaults.class)
                .map(this::replaceFaults)
                .orElseGet(() -> HttpResponses.empty(HttpResponses.BAD_REQUEST));
    }

    private HttpResponse replaceFaults(EndpointFaults faults) {
        mLifecycle.setFaults(faults);
        return json(faults);
    }

    private HttpResponse turnCold() {
        mLifecycle.turnCold(System.nanoTime());
        return json(mLifecycle.load(System.nanoTime()));
    }

    private HttpResponse crash() {
        mLifecycle.crash(System.nanoTime());
        return json(mLifecycle.load(System.nanoTime()));
    }

    private CompletionStage<HttpResponse> withBody(
            HttpRequest request, java.util.function.Function<String, HttpResponse> responder) {
        return HttpResponses.withBody(
                request, mActorSystem, body -> completed(responder.apply(body)));
    }

    private static HttpResponse json(Object message) {
        return HttpResponses.json(HttpResponses.OK, EndpointJson.write(message));
    }

    private static CompletionStage<HttpResponse> completed(HttpResponse response) {
        return CompletableFuture.completedFuture(response);
    }
}
