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
import org.wasabilug.entry.internal.http.ConnectionWatch;
import org.wasabilug.model.CallerRequest;

/** Hands requests to the instance and ties each to its caller's connection. */
public final class Submitter {
    private final ActorSystem<?> mSystem;
    private final EntryLimits mLimits;
    private final Consumer<InstanceMessage> mInstance;

    /**
     * Creates the submitter.
     *
     * @param system runs what is not the actor's
     * @param limits bounds
     * @param instance takes messages
     */
    public Submitter(
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
            CallerRequest request, CallTarget target, ConnectionWatch connection) {
        return request.streamed()
                ? submitStreamed(request, target, connection)
                : submitWhole(request, target, connection);
    }

    private CompletionStage<HttpResponse> submitWhole(
            CallerRequest request, CallTarget target, ConnectionWatch connection) {
        WholeAnswer answer =
                new WholeAnswer(
                        request,
                        mLimits.maximumAnswerCharacters(),
                        mSystem.executionContext()::execute);
        hand(request, target, connection, answer);
        return answer.response();
    }

    private CompletionStage<HttpResponse> submitStreamed(
            CallerRequest request, CallTarget target, ConnectionWatch connection) {
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
                new StreamedAnswer(request.id(), events, () -> vanished(request, sink.get()));
        sink.set(answer);
        hand(request, target, connection, answer);
        return answer.response();
    }

    private void hand(
            CallerRequest request, CallTarget target, ConnectionWatch connection, AnswerSink sink) {
        mInstance.accept(
                new InstanceMessage.RequestArrived(request, fingerprint(request, target), sink));
        connection.onEnd(() -> vanished(request, sink));
    }

    private void vanished(CallerRequest request, AnswerSink sink) {
        mInstance.accept(new InstanceMessage.CallerVanished(request.id(), sink));
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
