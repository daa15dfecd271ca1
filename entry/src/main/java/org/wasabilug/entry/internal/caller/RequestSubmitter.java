package org.wasabilug.entry.internal.caller;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.wasabilug.entry.EntryLimits;
import org.wasabilug.entry.internal.actor.AnswerSink;
import org.wasabilug.entry.internal.actor.InstanceMessage;
import org.wasabilug.entry.internal.http.DisconnectNotifier;
import org.wasabilug.model.CallerRequest;

/** Submits requests to the instance actor and cancels them when the caller disconnects. */
public final class RequestSubmitter {
    private final ActorSystem<?> mSystem;
    private final EntryLimits mLimits;
    private final Consumer<InstanceMessage> mInstance;

    /**
     * Creates the submitter.
     *
     * @param system runs the HTTP streams and builds responses outside the actor
     * @param limits bounds on answers
     * @param instance receives messages to the instance actor
     */
    public RequestSubmitter(
            ActorSystem<?> system, EntryLimits limits, Consumer<InstanceMessage> instance) {
        mSystem = system;
        mLimits = limits;
        mInstance = instance;
    }

    ActorSystem<?> system() {
        return mSystem;
    }

    EntryLimits limits() {
        return mLimits;
    }

    CompletionStage<HttpResponse> submit(
            CallerRequest request, CallTarget target, DisconnectNotifier connection) {
        return request.streamed()
                ? submitStreamed(request, target, connection)
                : submitBuffered(request, target, connection);
    }

    private CompletionStage<HttpResponse> submitBuffered(
            CallerRequest request, CallTarget target, DisconnectNotifier connection) {
        BufferedAnswer answer =
                new BufferedAnswer(
                        request,
                        mLimits.maximumAnswerCharacters(),
                        mSystem.executionContext()::execute);
        sendToInstance(request, target, connection, answer);
        return answer.response();
    }

    private CompletionStage<HttpResponse> submitStreamed(
            CallerRequest request, CallTarget target, DisconnectNotifier connection) {
        AtomicReference<AnswerSink> sink = new AtomicReference<>();
        EventQueue events =
                new EventQueue(
                        mLimits.callerBufferCharacters(),
                        mLimits.maximumAnswerCharacters(),
                        () ->
                                mInstance.accept(
                                        new InstanceMessage.CallerCaughtUp(
                                                request.id(), sink.get())));
        StreamedAnswer answer =
                new StreamedAnswer(
                        request.id(), events, () -> notifyDisconnected(request, sink.get()));
        sink.set(answer);
        sendToInstance(request, target, connection, answer);
        return answer.response();
    }

    private void sendToInstance(
            CallerRequest request,
            CallTarget target,
            DisconnectNotifier connection,
            AnswerSink sink) {
        mInstance.accept(
                new InstanceMessage.RequestArrived(request, fingerprint(request, target), sink));
        connection.onDisconnect(() -> notifyDisconnected(request, sink));
    }

    private void notifyDisconnected(CallerRequest request, AnswerSink sink) {
        mInstance.accept(new InstanceMessage.CallerDisconnected(request.id(), sink));
    }

    private static String fingerprint(CallerRequest request, CallTarget target) {
        return Hashing.sha256()
                .newHasher()
                .putUnencodedChars(target.description())
                .putChar('\n')
                .putString(request.body(), StandardCharsets.UTF_8)
                .hash()
                .toString();
    }
}
