package org.wasabilug.entry.internal.operators;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.wasabilug.entry.ObjectStateWriter;
import org.wasabilug.entry.TicketChecker;
import org.wasabilug.entry.TicketReader;
import org.wasabilug.entry.internal.actor.InstanceMessage;
import org.wasabilug.entry.internal.actor.PublishedState;
import org.wasabilug.entry.internal.http.BodyReader;
import org.wasabilug.entry.internal.http.DisconnectNotifier;
import org.wasabilug.entry.internal.http.EntryReporter;
import org.wasabilug.entry.internal.http.Json;
import org.wasabilug.entry.internal.http.PathSegments;
import org.wasabilug.entry.internal.http.RequestHandler;
import org.wasabilug.entry.internal.http.Responses;
import org.wasabilug.entry.internal.security.Authenticator;
import org.wasabilug.internal.event.Decision;
import org.wasabilug.internal.instance.InstanceStatus;
import org.wasabilug.model.OperatorName;
import org.wasabilug.model.Refusal;

/** HTTP interface for operators, with health checks and metrics. */
public final class OperatorHandler implements RequestHandler {
    private final ActorSystem<?> mSystem;
    private final Authenticator mAuthenticator;
    private final PublishedState mPublished;
    private final BodyReader mBodies;
    private final TicketHandler mTickets;
    private final ConfigurationView mView;
    private final MetricsView mMetrics;
    private final Consumer<InstanceMessage> mInstance;

    /**
     * Creates the handler.
     *
     * @param system runs the streams
     * @param authenticator identifies the operator
     * @param published state of the instance
     * @param bodies reads request bodies
     * @param formats JSON formats of tickets and objects
     * @param metrics metrics of the instance
     * @param instance receives messages to the instance actor
     */
    public OperatorHandler(
            ActorSystem<?> system,
            Authenticator authenticator,
            PublishedState published,
            BodyReader bodies,
            TicketFormats formats,
            MetricRegistry metrics,
            Consumer<InstanceMessage> instance) {
        mSystem = system;
        mAuthenticator = authenticator;
        mPublished = published;
        mBodies = bodies;
        mTickets =
                new TicketHandler(
                        formats.reader(), formats.checker(), published::configuration, instance);
        mView = new ConfigurationView(formats.writer());
        mMetrics = new MetricsView(metrics);
        mInstance = instance;
    }

    /**
     * JSON formats of tickets and objects.
     *
     * @param reader parses tickets
     * @param checker validates tickets
     * @param writer writes the states of objects
     */
    public record TicketFormats(
            TicketReader reader, TicketChecker checker, ObjectStateWriter writer) {}

    @Override
    public CompletionStage<HttpResponse> handle(
            HttpRequest request, DisconnectNotifier connection) {
        String route = request.method().name() + " " + request.getUri().path();
        return switch (route) {
            case "GET /live" ->
                    respond(request, Responses.json(200, Json.object().put("live", true)));
            case "GET /ready" -> readiness(request);
            case "GET /metrics" -> respond(request, Responses.json(200, mMetrics.json()));
            default -> handleAuthenticated(request, route);
        };
    }

    private CompletionStage<HttpResponse> readiness(HttpRequest request) {
        request.discardEntityBytes(mSystem);
        return instanceStatus()
                .thenApplyAsync(status -> status.ready() && !mPublished.isStopping())
                .thenApply(
                        ready ->
                                Responses.json(
                                        ready ? 200 : 503, Json.object().put("ready", ready)));
    }

    private CompletionStage<InstanceStatus> instanceStatus() {
        CompletableFuture<InstanceStatus> answer = new CompletableFuture<>();
        mInstance.accept(new InstanceMessage.StatusQuery(answer));
        return answer;
    }

    private CompletionStage<HttpResponse> handleAuthenticated(HttpRequest request, String route) {
        Optional<OperatorName> operator = mAuthenticator.operator(request);
        if (operator.isEmpty()) {
            return refuse(request, EntryReporter.unauthenticated());
        }
        return switch (route) {
            case "POST /v1/tickets" ->
                    mBodies.withBody(request, text -> mTickets.submit(operator.get(), text));
            case "POST /v1/tickets/check" ->
                    mBodies.withBody(request, text -> mTickets.check(operator.get(), text));
            case "GET /v1/configuration" ->
                    respond(request, Responses.json(200, mView.of(mPublished.configuration())));
            case "GET /v1/status" -> status(request);
            default -> decisionsOfRequest(request);
        };
    }

    private CompletionStage<HttpResponse> status(HttpRequest request) {
        request.discardEntityBytes(mSystem);
        return instanceStatus()
                .thenApplyAsync(
                        status ->
                                Responses.json(
                                        200, StatusView.of(status, mPublished.configuration())));
    }

    private CompletionStage<HttpResponse> decisionsOfRequest(HttpRequest request) {
        List<String> segments = PathSegments.of(request);
        boolean isDecisionsPath =
                request.method().name().equals("GET")
                        && segments.size() == 4
                        && segments.get(0).equals("v1")
                        && segments.get(1).equals("requests")
                        && segments.get(3).equals("decisions");
        if (!isDecisionsPath) {
            return refuse(request, EntryReporter.notFound("path " + request.getUri().path()));
        }
        request.discardEntityBytes(mSystem);
        String id = segments.get(2);
        CompletableFuture<List<Decision>> answer = new CompletableFuture<>();
        mInstance.accept(new InstanceMessage.DecisionsQuery(id, answer));
        return answer.thenApplyAsync(
                decisions ->
                        decisions.isEmpty()
                                ? Responses.problem(
                                        EntryReporter.notFound("decision about request " + id))
                                : Responses.json(200, StatusView.of(id, decisions)));
    }

    private CompletionStage<HttpResponse> respond(HttpRequest request, HttpResponse response) {
        request.discardEntityBytes(mSystem);
        return CompletableFuture.completedFuture(response);
    }

    private CompletionStage<HttpResponse> refuse(HttpRequest request, Refusal refusal) {
        return respond(request, Responses.problem(refusal));
    }
}
