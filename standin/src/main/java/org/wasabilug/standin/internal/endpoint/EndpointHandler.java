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
import org.wasabilug.standin.internal.http.Answers;

/** Answers an endpoint's HTTP requests. */
public final class EndpointHandler {
    /** Shows and switches faults. */
    public static final String FAULTS_PATH = "/faults";

    /** Turns the endpoint cold. */
    public static final String TURN_COLD_PATH = "/faults/turn-cold";

    /** Crashes the endpoint. */
    public static final String CRASH_PATH = "/faults/crash";

    /** Shows what the endpoint has counted. */
    public static final String COUNTS_PATH = "/counts";

    private static final int CACHE_CAPACITY_PREFIXES = 2048;

    private final EndpointSettings mSettings;
    private final EndpointLife mLife;
    private final EngineState mEngine = new EngineState();
    private final CacheLog mCache = new CacheLog(CACHE_CAPACITY_PREFIXES);
    private final ClassicActorSystemProvider mActorSystem;

    /**
     * Creates the handler.
     *
     * @param settings fixed properties
     * @param life the endpoint's life
     * @param actorSystem reads bodies
     */
    public EndpointHandler(
            EndpointSettings settings, EndpointLife life, ClassicActorSystemProvider actorSystem) {
        mSettings = settings;
        mLife = life;
        mActorSystem = actorSystem;
    }

    /**
     * The engine's state.
     *
     * @return the state
     */
    public EngineState engine() {
        return mEngine;
    }

    /**
     * Answers a request.
     *
     * @param request the request
     * @return the answer
     */
    public CompletionStage<HttpResponse> handle(HttpRequest request) {
        boolean reading = request.method().equals(HttpMethods.GET);
        return switch (request.getUri().path()) {
            case EndpointPaths.LOAD -> completed(json(mLife.report(System.nanoTime())));
            case EndpointPaths.CACHE_EVENTS -> completed(cacheEvents(request));
            case EndpointPaths.STATE ->
                    reading ? completed(json(mEngine.current())) : body(request, this::order);
            case FAULTS_PATH ->
                    reading ? completed(json(mLife.faults())) : body(request, this::switchFaults);
            case TURN_COLD_PATH -> completed(turnCold());
            case CRASH_PATH -> completed(crash());
            case COUNTS_PATH -> completed(json(mLife.counts()));
            default -> Answers.withBody(request, mActorSystem, this::call);
        };
    }

    private CompletionStage<HttpResponse> call(String body) {
        return EndpointJson.read(body, StageCallBody.class)
                .filter(this::resumesRightly)
                .map(this::run)
                .orElseGet(() -> completed(Answers.empty(Answers.BAD_REQUEST)));
    }

    /** A beginning that is not the one of this call's result belongs to another call. */
    private boolean resumesRightly(StageCallBody call) {
        return call.offset() == call.resumeText().length()
                && mSettings
                        .behaviour()
                        .answer(call.stage(), call.input())
                        .startsWith(call.resumeText());
    }

    private CompletionStage<HttpResponse> run(StageCallBody call) {
        EndpointFaults faults = mLife.faults();
        return switch (mLife.admit(call)) {
            case Admission.Refused refused -> completed(refusal());
            case Admission.Running running when faults.failing() ->
                    completed(Answers.empty(Answers.SERVER_ERROR));
            case Admission.Running running when faults.silent() ->
                    completed(stream(AnswerStream.endless(), running));
            case Admission.Running running -> completed(answer(call, running, faults));
        };
    }

    private HttpResponse answer(
            StageCallBody call, Admission.Running running, EndpointFaults faults) {
        long nowNanos = System.nanoTime();
        mCache.use(running.generation().number(), PrefixHashes.of(call.input()), nowNanos);
        String text = mSettings.behaviour().answer(call.stage(), call.input());
        AnswerStream stream = new AnswerStream(mSettings, running.paceFactor(), faults);
        Source<ByteString, NotUsed> bytes =
                mSettings.protocol() == CallProtocol.STREAMED
                        ? stream.streamed(text, call.offset())
                        : stream.whole(text);
        return stream(bytes, running);
    }

    private HttpResponse stream(Source<ByteString, NotUsed> bytes, Admission.Running running) {
        return HttpResponse.create()
                .addHeader(loadHeader(System.nanoTime()))
                .withEntity(
                        HttpEntities.create(
                                contentType(), bytes.via(new EndWatch(mLife, running))));
    }

    private HttpResponse refusal() {
        return Answers.empty(Answers.TOO_MANY_REQUESTS)
                .addHeader(RawHeader.create(EndpointPaths.NOT_RUN_HEADER, "true"))
                .addHeader(loadHeader(System.nanoTime()));
    }

    private RawHeader loadHeader(long nowNanos) {
        return RawHeader.create(
                EndpointPaths.LOAD_HEADER, EndpointJson.write(mLife.report(nowNanos)));
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
        long generation = mLife.load(nowNanos).generation();
        return json(mCache.after(generation, after, mLife.faults(), nowNanos));
    }

    private HttpResponse order(String body) {
        boolean checksFencing = !mLife.faults().ignoresFencing();
        return EndpointJson.read(body, StateOrder.class)
                .map(order -> mEngine.take(order, checksFencing))
                .map(EndpointHandler::orderAnswer)
                .orElseGet(() -> Answers.empty(Answers.BAD_REQUEST));
    }

    private static HttpResponse orderAnswer(OrderOutcome outcome) {
        int status = outcome instanceof OrderOutcome.StaleFencing ? Answers.CONFLICT : Answers.OK;
        return Answers.json(status, EndpointJson.write(outcome));
    }

    private HttpResponse switchFaults(String body) {
        return EndpointJson.read(body, EndpointFaults.class)
                .map(this::switchTo)
                .orElseGet(() -> Answers.empty(Answers.BAD_REQUEST));
    }

    private HttpResponse switchTo(EndpointFaults faults) {
        mLife.setFaults(faults);
        return json(faults);
    }

    private HttpResponse turnCold() {
        mLife.turnCold(System.nanoTime());
        return json(mLife.load(System.nanoTime()));
    }

    private HttpResponse crash() {
        mLife.crash(System.nanoTime());
        return json(mLife.load(System.nanoTime()));
    }

    private CompletionStage<HttpResponse> body(
            HttpRequest request, java.util.function.Function<String, HttpResponse> answer) {
        return Answers.withBody(request, mActorSystem, body -> completed(answer.apply(body)));
    }

    private static HttpResponse json(Object message) {
        return Answers.json(Answers.OK, EndpointJson.write(message));
    }

    private static CompletionStage<HttpResponse> completed(HttpResponse response) {
        return CompletableFuture.completedFuture(response);
    }
}
