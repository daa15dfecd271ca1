package org.wasabilug.entry.internal.actor;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.wasabilug.model.RequestId;

/** Where the answers of the requests in flight go. */
final class OpenAnswers {
    private final Map<RequestId, AnswerSink> mSinks = new HashMap<>();

    void open(RequestId request, AnswerSink sink) {
        mSinks.put(request, sink);
    }

    Optional<AnswerSink> find(RequestId request) {
        return Optional.ofNullable(mSinks.get(request));
    }

    boolean isOpen(RequestId request) {
        return mSinks.containsKey(request);
    }

    boolean isOpen(RequestId request, AnswerSink sink) {
        return mSinks.get(request) == sink;
    }

    Optional<AnswerSink> close(RequestId request) {
        return Optional.ofNullable(mSinks.remove(request));
    }

    int size() {
        return mSinks.size();
    }
}
