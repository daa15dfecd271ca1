package org.wasabilug.entry.internal.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.wasabilug.entry.internal.actor.InstanceMessage;
import org.wasabilug.entry.internal.actor.PublishedState;
import org.wasabilug.entry.internal.actor.RequestRecord;
import org.wasabilug.entry.internal.http.BodyReader;
import org.wasabilug.entry.internal.http.DisconnectNotifier;
import org.wasabilug.entry.internal.http.EntryReporter;
import org.wasabilug.entry.internal.http.Json;
import org.wasabilug.entry.internal.http.PathSegments;
import org.wasabilug.entry.internal.http.RequestHandler;
import org.wasabilug.entry.internal.http.Responses;
import org.wasabilug.entry.internal.security.Authenticator;
import org.wasabilug.model.CallerRequest;
import org.wasabilug.model.Refusal;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.Workspace;

/** HTTP interface for callers. */
public final class CallerHandler implements RequestHandler {
    private final Authenticator mAuthenticator;
    private final PublishedState mPublished;
    private final BodyReader mBodies;
    private final SubmissionCheck mCheck;
    private final RequestSubmitter mSubmitter;
    private final Consumer<InstanceMessage> mInstance;

    /**
     * Creates the handler.
     *
     * @param authenticator identifies the workspace
     * @param published state of the instance
     * @param bodies reads request bodies
     * @param submitter submits requests to the instance
     * @param instance receives messages to the instance actor
     */
    public CallerHandler(
            Authenticator authenticator,
            PublishedState published,
            BodyReader bodies,
            RequestSubmitter submitter,
            Consumer<InstanceMessage> instance) {
        mAuthenticator = authenticator;
        mPublished = published;
        mBodies = bodies;
        mSubmitter = submitter;
        mCheck = new SubmissionCheck(submitter.limits());
        mInstance = instance;
    }

    @Override
    public CompletionStage<HttpResponse> handle(
            HttpRequest request, DisconnectNotifier connection) {
        Optional<Workspace> workspace = mAuthenticator.workspace(request);
        if (workspace.isEmpty()) {
            return refuse(request, EntryReporter.unauthenticated());
        }
        List<String> segments = PathSegments.of(request);
        Optional<CallTarget> target = CallTarget.of(segments);
        if (target.isPresent() && request.method().equals(HttpMethods.POST)) {
            return mBodies.withBody(
                    request,
                    text -> submit(request, connection, target.get(), workspace.get(), text));
        }
        if (isRequestStatus(segments) && request.method().equals(HttpMethods.GET)) {
            request.discardEntityBytes(mSubmitter.system());
            return status(CallerRequest.requestIdOf(workspace.get().name(), segments.get(2)));
        }
        return refuse(request, EntryReporter.notFound("path " + request.getUri().path()));
    }

    private static boolean isRequestStatus(List<String> segments) {
        return segments.size() == 3
                && segments.get(0).equals("v1")
                && segments.get(1).equals("requests");
    }

    private CompletionStage<HttpResponse> refuse(HttpRequest request, Refusal refusal) {
        request.discardEntityBytes(mSubmitter.system());
        return CompletableFuture.completedFuture(Responses.problem(refusal));
    }

    private CompletionStage<HttpResponse> submit(
            HttpRequest request,
            DisconnectNotifier connection,
            CallTarget target,
            Workspace workspace,
            String text) {
        return switch (mCheck.check(request, target, workspace, mPublished.configuration(), text)) {
            case SubmissionCheck.Refused refused ->
                    CompletableFuture.completedFuture(Responses.problem(refused.refusal()));
            case SubmissionCheck.Checked checked ->
                    mSubmitter.submit(checked.request(), target, connection);
        };
    }

    private CompletionStage<HttpResponse> status(RequestId request) {
        CompletableFuture<Optional<RequestRecord>> answer = new CompletableFuture<>();
        mInstance.accept(new InstanceMessage.RequestQuery(request, answer));
        return answer.thenApply(
                found ->
                        found.map(each -> Responses.json(200, statusBody(request, each)))
                                .orElseGet(
                                        () -> Responses.problem(EntryReporter.requestNotFound())));
    }

    private static ObjectNode statusBody(RequestId request, RequestRecord requestRecord) {
        ObjectNode body =
                Json.object()
                        .put("request", request.value())
                        .put("state", requestRecord.state().name());
        requestRecord
                .refusal()
                .ifPresent(refusal -> body.set("problem", Responses.problemBody(refusal)));
        return body;
    }
}
