package org.wasabilug.entry.internal.actor;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.wasabilug.model.RequestId;

/** Sinks of the requests in flight. */
final class OpenAnswers {
    private final Map<RequestId, OpenAnswer> mOpen = new HashMap<>();

    void open(RequestId request, AnswerSink sink) {
        mOpen.put(request, new OpenAnswer(sink, System.nanoTime()));
    }

    Optional<AnswerSink> find(RequestId request) {
        return Optional.ofNullable(mOpen.get(request)).map(OpenAnswer::sink);
    }

    boolean isOpen(RequestId request) {
        return mOpen.containsKey(request);
    }

    boolean isOpen(RequestId request, AnswerSink sink) {
        return find(request).filter(open -> open == sink).isPresent();
    }

    Optional<AnswerSink> close(RequestId request) {
        return Optional.ofNullable(mOpen.remove(request)).map(OpenAnswer::sink);
    }

    int size() {
        return mOpen.size();
    }

    OptionalLong elapsedNanos(RequestId request) {
        OpenAnswer answer = mOpen.get(request);
        return answer == null
                ? OptionalLong.empty()
                : OptionalLong.of(System.nanoTime() - answer.openedNanos());
    }

    private record OpenAnswer(AnswerSink sink, long openedNanos) {}
}
