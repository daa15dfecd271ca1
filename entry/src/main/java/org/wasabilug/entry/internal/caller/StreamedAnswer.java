package org.wasabilug.entry.internal.caller;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.wasabilug.entry.internal.actor.AnswerSink;
import org.wasabilug.entry.internal.http.Responses;
import org.wasabilug.model.Refusal;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;

/** Sends an answer to the caller as server-sent events while the stages produce it. */
final class StreamedAnswer implements AnswerSink {
    private final RequestId mRequest;
    private final EventQueue mEvents;
    private final Runnable mOnStreamEnd;
    private final CompletableFuture<HttpResponse> mResponse = new CompletableFuture<>();
    private boolean mStarted;

    /**
     * Creates the answer.
     *
     * @param request id of the request
     * @param events queue between the instance and the connection
     * @param onStreamEnd runs when the response stream has ended, also after a complete answer
     */
    StreamedAnswer(RequestId request, EventQueue events, Runnable onStreamEnd) {
        mRequest = request;
        mEvents = events;
        mOnStreamEnd = onStreamEnd;
    }

    CompletionStage<HttpResponse> response() {
        return mResponse;
    }

    @Override
    public SinkState append(StageName stage, String text) {
        if (!mEvents.add(new AnswerEvent.Part(stage, text))) {
            return SinkState.OVERFLOWED;
        }
        startResponse();
        return mEvents.isSaturated() ? SinkState.SATURATED : SinkState.READY;
    }

    @Override
    public void complete() {
        end(new AnswerEvent.Done(mRequest));
        startResponse();
    }

    @Override
    public void refuse(Refusal refusal) {
        if (mStarted) {
            end(new AnswerEvent.Failed(refusal));
        } else {
            mResponse.complete(Responses.problem(refusal));
        }
    }

    private void end(AnswerEvent last) {
        mEvents.add(last);
        mEvents.close();
    }

    private void startResponse() {
        if (!mStarted) {
            mStarted = true;
            mResponse.complete(eventStream());
        }
    }

    private HttpResponse eventStream() {
        return HttpResponse.create()
                .withEntity(
                        HttpEntities.create(
                                MediaTypes.TEXT_EVENT_STREAM.toContentType(), encodedEvents()));
    }

    private Source<ByteString, NotUsed> encodedEvents() {
        return Source.unfoldAsync(
                        mEvents,
                        events ->
                                events.next()
                                        .thenApply(
                                                batch ->
                                                        batch.map(
                                                                each -> Pair.create(events, each))))
                .map(StreamedAnswer::encoded)
                .watchTermination(
                        (nothing, ended) -> {
                            ended.whenComplete((done, failure) -> mOnStreamEnd.run());
                            return nothing;
                        });
    }

    private static ByteString encoded(List<AnswerEvent> events) {
        return events.stream()
                .map(AnswerEvent::encoded)
                .reduce(ByteString::concat)
                .orElseGet(ByteString::emptyByteString);
    }
}
