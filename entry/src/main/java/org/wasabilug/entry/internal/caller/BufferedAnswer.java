package org.wasabilug.entry.internal.caller;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.wasabilug.entry.internal.actor.AnswerSink;
import org.wasabilug.entry.internal.http.Json;
import org.wasabilug.entry.internal.http.Responses;
import org.wasabilug.model.CallerRequest;
import org.wasabilug.model.Refusal;
import org.wasabilug.model.Stage;
import org.wasabilug.model.StageName;

/** Buffers an answer and sends it once it is complete. */
final class BufferedAnswer implements AnswerSink {
    private final CallerRequest mRequest;
    private final int mMaximumCharacters;
    private final Executor mExecutor;
    private final Map<StageName, StringBuilder> mTexts = new LinkedHashMap<>();
    private final CompletableFuture<HttpResponse> mResponse = new CompletableFuture<>();
    private int mCharacters;

    BufferedAnswer(CallerRequest request, int maximumCharacters, Executor executor) {
        mRequest = request;
        mMaximumCharacters = maximumCharacters;
        mExecutor = executor;
        for (Stage stage : request.pipeline().stages()) {
            mTexts.put(stage.name(), new StringBuilder());
        }
    }

    CompletionStage<HttpResponse> response() {
        return mResponse;
    }

    @Override
    public SinkState append(StageName stage, String text) {
        mCharacters += text.length();
        if (mCharacters > mMaximumCharacters) {
            return SinkState.OVERFLOWED;
        }
        mTexts.computeIfAbsent(stage, name -> new StringBuilder()).append(text);
        return SinkState.READY;
    }

    @Override
    public void complete() {
        mExecutor.execute(() -> mResponse.complete(Responses.json(200, body())));
    }

    @Override
    public void refuse(Refusal refusal) {
        mExecutor.execute(() -> mResponse.complete(Responses.problem(refusal)));
    }

    private ObjectNode body() {
        ObjectNode body = Json.object().put("request", mRequest.id().value());
        ArrayNode stages = body.putArray("stages");
        mTexts.forEach(
                (name, text) ->
                        stages.addObject().put("name", name.value()).put("text", text.toString()));
        return body.put("text", String.join("", mTexts.values()));
    }
}
