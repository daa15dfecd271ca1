package org.wasabilug.scenarios.internal.fleet;

import java.util.HashMap;
import java.util.Map;
import org.wasabilug.model.CallerRequest;
import org.wasabilug.model.Stage;
import org.wasabilug.model.StageName;

/** A submission with the result text that its caller has received so far. */
final class Submission {
    private final long mNumber;
    private final CallerRequest mRequest;
    private final Map<StageName, StringBuilder> mResults = new HashMap<>();

    Submission(long number, CallerRequest request) {
        mNumber = number;
        mRequest = request;
    }

    long number() {
        return mNumber;
    }

    CallerRequest request() {
        return mRequest;
    }

    void accept(StageName stage, String text) {
        mResults.computeIfAbsent(stage, ignored -> new StringBuilder()).append(text);
    }

    /** Returns the concatenated results of all stages, in pipeline order. */
    String answer() {
        StringBuilder answer = new StringBuilder();
        for (Stage stage : mRequest.pipeline().stages()) {
            answer.append(mResults.getOrDefault(stage.name(), new StringBuilder()));
        }
        return answer.toString();
    }
}
